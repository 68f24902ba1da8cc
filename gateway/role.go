package gateway

import (
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// stuckAfter is how long a router may know less than another one before it asks
// the source itself.
const stuckAfter = 500 * time.Millisecond

// role decides whether a router follows one feed of the source: a few do, and
// tell the others. The routers that follow are the first by address of those
// that are there and reach the source.
type role struct {
	peers *peers
	// fails says that the last call failed.
	fails *atomic.Bool
}

// failing takes in whether the last call to the source failed.
func (r role) failing(fails bool) { r.fails.Store(fails) }

func (r role) follows() bool {
	return r.fails.Load() || r.peers.watches()
}

// watches tells whether this router is one of the few that follow the source, or
// knows less than another for too long.
func (p *peers) watches() bool {
	if p.stuck() || !p.core.without.Uses(direct.Followers) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before, live := 0, 0
	for address, peer := range p.known {
		if !peer.live {
			continue
		}
		live++
		if address < p.self && !peer.sourceLost {
			before++
		}
	}
	if live >= smallFleet {
		return before < watchersLeast+1
	}
	return before < watchersLeast
}

// stuck tells whether this router has known less than another one for too long.
func (p *peers) stuck() bool {
	config, servers := p.ahead()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(config) == 0 && len(servers) == 0 {
		p.behindSince = 0
		return false
	}
	if p.behindSince == 0 {
		p.behindSince = p.core.now()
	}
	return p.core.now()-p.behindSince > stuckAfter
}
