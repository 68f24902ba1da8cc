package cluster

import (
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/loads"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// copyRecorder is a state machine that records the copies it receives.
type copyRecorder struct {
	*testMachine
	copies []loads.Copy
}

func (d *copyRecorder) Update(msg direct.Msg) {
	if msg, ok := msg.(direct.PeerCopiesMsg); ok {
		d.copies = append(d.copies, msg.Copies...)
	}
	d.testMachine.Update(msg)
}

// newTestLoads returns a loadExchange that receives no datagrams.
func newTestLoads(t *testing.T, s Settings) (*loadExchange, *copyRecorder) {
	d := &copyRecorder{testMachine: newTestMachine()}
	deps := Dependencies{StateMachine: d, Stats: stats.New(tally.NoopScope), Traffic: traffic.NewCounter(tally.NoopScope)}
	udp, err := openTransport("127.0.0.1:0", traffic.Loads, deps)
	require.NoError(t, err)
	t.Cleanup(func() { _ = udp.conn.Close() })
	return newLoadExchange(s, udp, deps), d
}

// TestListsBetweenRegions has a router send lists to a router of another region and receive a copy.
// The bytes sent must count by path, according to the regions in the settings.
func TestListsBetweenRegions(t *testing.T) {
	l, d := newTestLoads(t, Settings{Self: Member{Address: "127.0.0.1"}, Hall: "a", Region: "north", Power: 9})
	l.setRouters([]loads.Router{{Address: "127.0.0.2", Hall: "b", Region: "south"}, {Address: "127.0.0.3", Hall: "c", Region: "north"}})
	l.update(loads.TickMsg{Now: d.Now()})
	sent := l.deps.Traffic.Sums()["loads"]
	require.Positive(t, sent.BetweenHalls)
	require.Zero(t, sent.BetweenRegions, "lists to other regions are sent with team usage")
	l.update(loads.TickMsg{Now: d.Now(), HasTeams: true})
	sent = l.deps.Traffic.Sums()["loads"]
	require.Zero(t, sent.WithinHall)
	require.Positive(t, sent.BetweenRegions)
	one := loads.Copy{Part: 7, Server: 9}
	l.update(loads.ListMsg{Now: d.Now(), From: "127.0.0.3", Hall: "c", Kind: loads.Sum, Number: 1, Copies: []loads.Copy{one}})
	l.update(loads.TickMsg{Now: d.Now()})
	require.Equal(t, []loads.Copy{one}, d.copies)
}
