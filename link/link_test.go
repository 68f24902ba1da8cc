package link

import (
	"context"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/wire"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint is one end of a link.
type endpoint struct {
	opts   Options
	events chan Event
}

func newEndpoint() endpoint {
	events := make(chan Event, 16)
	hello := func() wire.Hello { return wire.Hello{Name: "peer", Role: wire.RoleRouter, Hall: "a"} }
	return endpoint{events: events, opts: Options{Events: events, Meter: &Meter{}, Hello: hello}}
}

// pair returns two linked endpoints and a function that ends the link.
func pair(t *testing.T) (dialled, accepted endpoint, end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dialled, accepted = newEndpoint(), newEndpoint()
	done := make(chan struct{}, 2)
	go func() {
		_ = Listen(ctx, ln, accepted.opts)
		done <- struct{}{}
	}()
	go func() {
		_ = Dial(ctx, ln.Addr().String(), dialled.opts)
		done <- struct{}{}
	}()
	return dialled, accepted, func() {
		cancel()
		<-done
		<-done
	}
}

// TestLinkCarriesInOrder checks that messages arrive in order, after the names that they
// use, and that both ends receive EventDown.
func TestLinkCarriesInOrder(t *testing.T) {
	dialled, accepted, end := pair(t)
	up := <-dialled.events
	require.Equal(t, EventUp, up.Kind)
	require.Equal(t, EventUp, (<-accepted.events).Kind)
	for i := range uint64(3) {
		require.True(t, up.Conn.SendNamed(wire.Claim{Seq: i, Team: up.Conn.OutNames.Number("ajax")}))
	}
	name := <-accepted.events
	require.Equal(t, wire.Name{Number: 0, Text: "ajax"}, name.Msg)
	for i := range uint64(3) {
		require.Equal(t, i, (<-accepted.events).Msg.(wire.Claim).Seq)
	}
	sent := dialled.opts.Meter.Snapshot()
	read := accepted.opts.Meter.Snapshot()
	require.Equal(t, sent[0].SentBytes, read[0].ReadBytes)
	end()
	require.Equal(t, EventDown, (<-dialled.events).Kind)
	require.Equal(t, EventDown, (<-accepted.events).Kind)
}

// TestFullLinkIsClosed checks that a peer that does not read loses its link and that the
// sender never blocks.
func TestFullLinkIsClosed(t *testing.T) {
	dialled, accepted, end := pair(t)
	conn := (<-dialled.events).Conn
	require.Equal(t, EventUp, (<-accepted.events).Kind)
	big := wire.BundleData{Content: make([]byte, 1<<20)}
	sent := 0
	for conn.Send(big) { // the other end reads no events
		sent++
		require.Less(t, sent, 100_000)
	}
	require.True(t, errors.Is(conn.err, ErrTooSlow))
	go func() {
		for range accepted.events {
		}
	}()
	end()
	close(accepted.events)
}

// TestPeerWithoutHelloIsRejected checks that a peer that sends no hello gets no link.
func TestPeerWithoutHelloIsRejected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := newEndpoint()
	s.opts.OnEnd = func(_ string, err error) { ended <- err }
	done := make(chan struct{})
	go func() {
		_ = Listen(ctx, ln, s.opts)
		close(done)
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	_, err = c.Write([]byte("GET /state HTTP/1.1\r\nHost: 127.0.0.1:7000\r\nUser-Agent: somebody/1.0\r\nAccept: */*\r\n\r\n"))
	require.NoError(t, err)
	require.True(t, errors.Is(<-ended, ErrNoHello))
	require.NoError(t, c.Close())
	cancel()
	<-done
}
