package direct

import (
	"slices"
	"strings"
	"time"
)

// pool holds the servers of one service and the requests that wait for them.
type pool struct {
	name        string
	engine      *Engine
	servers     map[string]*server
	all         []*server     // by id
	admitted    []*server     // those that may get requests, by id; see admit
	gate        *gate         // nil: every version may get requests
	baseline    baseline      // of the versions in use
	tokenRate   float64       // tokens a millisecond of a server, averaged
	cacheTTL    time.Duration // how long a server keeps a part of a prompt unused
	objectiveMS float64       // milliseconds, averaged over requests
	cold        ColdLimit
	queue       queue
	retryWindow retryWindow
}

func newPool(name string) *pool {
	return &pool{name: name, servers: make(map[string]*server), cacheTTL: maxCacheTTL}
}

// configure takes in what the configuration says of the service.
func (p *pool) configure(s *Service, limits Limits) {
	p.engine = s.Engine
	p.cold = s.Cold
	if p.tokenRate == 0 && s.Engine != nil {
		p.tokenRate = initialTokenRate(limits.TokensPerSecond, len(p.admitted))
	}
}

// initialTokenRate guesses how fast a server reads prompts before one was measured:
// twice its part of the tokens that all make and read together.
func initialTokenRate(tokensPerSecond float64, servers int) float64 {
	if tokensPerSecond == 0 || servers == 0 {
		return 60
	}
	return 2 * tokensPerSecond / 1000 / float64(servers)
}

// tokenRateOf returns how many tokens a millisecond a server reads.
func (p *pool) tokenRateOf(s *server) float64 {
	if s.tokenRate > 0 {
		return max(s.tokenRate, 1)
	}
	return max(p.tokenRate, 1)
}

// refreshServers sorts the servers after a change, so that choices depend on no map
// order.
func (p *pool) refreshServers() {
	p.all = p.all[:0]
	for _, s := range p.servers {
		p.all = append(p.all, s)
	}
	sortByID(p.all)
	p.updateEligible()
}

func sortByID(servers []*server) {
	slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
}

// medianFailureRate returns the failure average of the middle one of some servers.
func medianFailureRate(servers []*server) float64 {
	if len(servers) == 0 {
		return 0
	}
	all := make([]float64, 0, len(servers))
	for _, s := range servers {
		all = append(all, s.failureRate)
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// anyUsable tells whether some server of some regions may get new requests.
func (p *pool) anyUsable(now time.Duration, regions Regions) bool {
	return slices.ContainsFunc(p.admitted, func(s *server) bool { return s.accepts(now, regions) })
}

// ejectionCapReached tells whether one more ejection would leave less than half of
// some servers.
func ejectionCapReached(now time.Duration, servers []*server) bool {
	inUse, all := 0, 0
	for _, s := range servers {
		if !s.available() {
			continue
		}
		all++
		if s.usable(now) {
			inUse++
		}
	}
	return inUse-1 < (all+1)/2
}

// promptCacheFraction is the part of an engine's memory that parts of prompts have.
const promptCacheFraction = 0.8

// updateCacheTTL works out how long a part is kept unused, from the tokens a second
// that all servers read: the parts unused longest give way.
func (p *pool) updateCacheTTL(tokens float64) {
	p.cacheTTL = maxCacheTTL
	if p.engine == nil || tokens <= 0 || len(p.admitted) == 0 {
		return
	}
	seconds := promptCacheFraction * float64(p.engine.KVTokens) * float64(len(p.admitted)) / tokens
	p.cacheTTL = min(maxCacheTTL, time.Duration(seconds*float64(time.Second)))
}
