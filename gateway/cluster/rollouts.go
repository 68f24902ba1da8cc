package cluster

import "github.com/croftvale/croftvale/rollout"

// Rollouts decides on rollouts by the reports that routers exchange.
type Rollouts interface {
	// Reports returns this router's reports of the rollouts in progress.
	Reports() []rollout.Report
	// Enqueue receives the reports of the other routers. It must not block.
	Enqueue(msg rollout.Msg)
}

// Leads reports whether this router advances rollouts and writes the state of the routers to the
// source. The leader is the first router by address among those that are live and reach the source.
// A router that has just started does not lead, because it has not received enough heartbeats yet.
func (p *Peers) Leads() bool {
	now := p.deps.StateMachine.Now()
	if now < warmUpTime || p.deps.Feeds.SourceFailing() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	live, heard := 1, 1
	for address, peer := range p.known {
		if peer.lastHeard > 0 {
			heard++
		}
		if !peer.live {
			continue
		}
		if address < p.self && !peer.sourceLost && !peer.warmingUp(now) {
			return false
		}
		live++
	}
	// A router that receives heartbeats from fewer than half of the routers may be cut off from the
	// rest, and would complete a rollout while they still use the old servers. Routers from which
	// no heartbeat has ever arrived do not count: they may have been replaced long ago.
	return 2*live >= heard
}

// Routers returns the number of live routers, including this one.
func (p *Peers) Routers() int { return len(p.Live()) + 1 }
