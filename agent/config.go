package agent

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/sched"
)

var (
	errNotRouter = errors.New("peer is no router; agents take links from routers only")
	errReplaced  = errors.New("replaced by a newer link of the same router")
	// ErrClosing means that the agent is stopping.
	ErrClosing = errors.New("the agent is stopping; ask another")
)

// findServer returns the backend server with the given name in a bundle.
func findServer(b bundle.Bundle, name fleet.Name) (bundle.Server, bool) {
	for _, s := range b.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return bundle.Server{}, false
}

// schedulerConfig returns the scheduler's configuration under a bundle. A server
// that the bundle lacks or marks as leaving has no slots.
func schedulerConfig(b bundle.Bundle, name fleet.Name) sched.Config {
	c := sched.Config{
		Shares:       map[fleet.Team]float64{},
		Mode:         sched.Mode(b.Policy.Sharing),
		ShareEvery:   time.Duration(b.Policy.ShareEvery),
		Delta:        time.Duration(b.Policy.Delta),
		UrgentBorrow: time.Duration(b.Policy.UrgentBorrow),
		CatchUp:      time.Duration(b.Policy.CatchUp),
	}
	for _, t := range b.Teams {
		c.Shares[t.Name] = t.Share
	}
	s, ok := findServer(b, name)
	if !ok || s.Leaving {
		return c
	}
	c.Slots = s.Slots
	c.Works = s.Works
	c.ClaimAhead = *b.Policy.ClaimAhead
	c.PeerSlotRatio = peerSlotRatio(b, s)
	return c
}

// peerSlotRatio returns, for each work, the number of slots of the other servers
// that run it divided by the number of the server's own slots.
func peerSlotRatio(b bundle.Bundle, own bundle.Server) map[fleet.Work]float64 {
	out := map[fleet.Work]float64{}
	for _, s := range b.Servers {
		if s.Name == own.Name || s.Leaving {
			continue
		}
		for _, w := range s.Works {
			out[w] += float64(s.Slots) / float64(own.Slots)
		}
	}
	return out
}

// state returns the core's state dump.
func (c *core) state() State {
	s := State{
		Name: c.settings.Name, Hall: c.settings.Hall, Role: "agent",
		Incarnation: c.incarnation, Generation: c.active.Generation(),
		Serving: c.serving, Leaving: c.leaving,
		Slots: c.scheduler.Slots(), Running: c.scheduler.Running(), Held: c.scheduler.Held(), Keys: c.keys.Len(),
		Teams: c.scheduler.Teams(), Traffic: c.meter.Snapshot(),
	}
	for name, r := range c.routers {
		s.Routers = append(s.Routers, PeerState{
			Name: name, Remote: r.conn.Remote, Hall: r.conn.Peer.Hall,
			Generation: r.lastHeartbeat.Generation, Hub: r.lastHeartbeat.Hub,
		})
	}
	return s
}
