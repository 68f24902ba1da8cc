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

// copyRecorder keeps the copies that its router's decisions are copyRecorder of.
type copyRecorder struct {
	*testMachine
	copies []loads.Copy
}

func (d *copyRecorder) Update(msg direct.Msg) {
	if msg, ok := msg.(direct.CopiesMsg); ok {
		d.copies = append(d.copies, msg.Copies...)
	}
	d.testMachine.Update(msg)
}

// newTestLoads returns the exchange of a router of which no datagram arrives.
func newTestLoads(t *testing.T, s Settings) (*loadExchange, *copyRecorder) {
	d := &copyRecorder{testMachine: newTestMachine()}
	parts := Dependencies{Decisions: d, Stats: stats.New(tally.NoopScope), Traffic: traffic.NewCounter(tally.NoopScope)}
	over, err := openTransport("127.0.0.1:0", traffic.Loads, parts)
	require.NoError(t, err)
	t.Cleanup(func() { _ = over.conn.Close() })
	return newLoadExchange(s, over, parts), d
}

// TestListsBetweenRegions has a router tell one of another region, as settings say that they
// are in two, and be told of copies: bytes count by how far they go.
func TestListsBetweenRegions(t *testing.T) {
	l, d := newTestLoads(t, Settings{Self: Member{Address: "127.0.0.1"}, Hall: "a", Region: "north", Power: 9})
	l.setRouters([]loads.Router{{Address: "127.0.0.2", Hall: "b", Region: "south"}, {Address: "127.0.0.3", Hall: "c", Region: "north"}})
	l.update(loads.TickMsg{Now: d.Now()})
	sent := l.deps.Traffic.Sums()["loads"]
	require.Positive(t, sent.BetweenHalls)
	require.Zero(t, sent.BetweenRegions, "other regions are told with the teams")
	l.update(loads.TickMsg{Now: d.Now(), HasTeams: true})
	sent = l.deps.Traffic.Sums()["loads"]
	require.Zero(t, sent.WithinHall)
	require.Positive(t, sent.BetweenRegions)
	one := loads.Copy{Part: 7, Server: 9}
	l.update(loads.ListMsg{Now: d.Now(), From: "127.0.0.3", Hall: "c", Kind: loads.Sum, Number: 1, Copies: []loads.Copy{one}})
	l.update(loads.TickMsg{Now: d.Now()})
	require.Equal(t, []loads.Copy{one}, d.copies)
}
