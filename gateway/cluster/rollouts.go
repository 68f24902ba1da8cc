package cluster

import "github.com/croftvale/croftvale/rollout"

// Rollouts is the decisions on roll-outs, which exchange reports with the other routers.
type Rollouts interface {
	// Reports returns this router's reports of the roll-outs under way.
	Reports() []rollout.Report
	// Enqueue brings the reports of the other routers. It must not block.
	Enqueue(msg rollout.Msg)
}

// Leads tells whether this router is the one that moves roll-outs on and writes what the routers
// know to the source: the first by address of those that are there and reach it. A router that has
// just started has not heard enough of the others to know.
func (p *Peers) Leads() bool {
	now := p.parts.Decisions.Now()
	if now < settleTime || p.parts.Feeds.SourceFails() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	live, heard := 1, 1
	for address, peer := range p.known {
		if peer.heard > 0 {
			heard++
		}
		if !peer.live {
			continue
		}
		if address < p.self && !peer.sourceLost && !peer.settles(now) {
			return false
		}
		live++
	}
	// One that hears only a few of the routers that it heard lately may be cut off from
	// the rest: it would complete a roll-out while they still use the old servers. Those
	// that are only listed may have been replaced long ago.
	return 2*live >= heard
}

// Routers counts the routers that are there, this one included.
func (p *Peers) Routers() int { return len(p.Live()) + 1 }
