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
	all         []*server     // by ID
	admitted    []*server     // may get requests under the gate, by ID
	gate        *gate         // nil: every version may get requests
	baseline    baseline      // of the versions in use
	tokenRate   float64       // average of a server, in tokens per millisecond
	cacheTTL    time.Duration // how long a server keeps an unused part of a prompt
	objectiveMS float64       // average over requests, in milliseconds
	cold        ColdLimit
	queue       queue
	retryWindow retryWindow
}

func newPool(name string) *pool {
	return &pool{name: name, servers: make(map[string]*server), cacheTTL: maxCacheTTL}
}

// configure applies the configuration of the service.
func (p *pool) configure(s *Service, limits Limits) {
	p.engine = s.Engine
	p.cold = s.Cold
	if p.tokenRate == 0 && s.Engine != nil {
		p.tokenRate = initialTokenRate(limits.TokensPerSecond, len(p.admitted))
	}
}

// initialTokenRate estimates, in tokens per millisecond, how fast a server reads prompts before
// any measurement: twice its part of the tokens that all servers read and generate together.
func initialTokenRate(tokensPerSecond float64, servers int) float64 {
	if tokensPerSecond <= 0 || servers == 0 {
		return 60
	}
	return min(2*tokensPerSecond/1000/float64(servers), maxTokenRate)
}

// tokenRateOf returns how fast a server reads prompts, in tokens per millisecond.
func (p *pool) tokenRateOf(s *server) float64 {
	if s.tokenRate > 0 {
		return max(s.tokenRate, 1)
	}
	return max(p.tokenRate, 1)
}

// refreshServers rebuilds the sorted lists after a change of the servers. Sorting keeps
// decisions independent of the order of a map.
func (p *pool) refreshServers() {
	p.all = p.all[:0]
	for _, s := range p.servers {
		p.all = append(p.all, s)
	}
	sortByID(p.all)
	p.updateAdmitted()
}

func sortByID(servers []*server) {
	slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
}

// medianFailureRate returns the median failure rate of the servers.
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

// anyUsable reports whether some server may get a request now.
func (p *pool) anyUsable(now time.Duration, r *Request) bool {
	return slices.ContainsFunc(p.serversFor(r), func(s *server) bool { return s.accepts(now, r) })
}

// ejectionCapReached reports whether one more ejection would leave less than half of the
// available servers in use.
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

// promptCacheFraction is the fraction of an engine's memory that holds parts of prompts.
const promptCacheFraction = 0.8

// updateCacheTTL computes how long servers keep an unused part, from the tokens per second that
// all servers read: they evict the least recently used parts first.
func (p *pool) updateCacheTTL(tokens float64) {
	p.cacheTTL = maxCacheTTL
	if p.engine == nil || tokens <= 0 || len(p.admitted) == 0 {
		return
	}
	seconds := promptCacheFraction * float64(p.engine.KVTokens) * float64(len(p.admitted)) / tokens
	p.cacheTTL = time.Duration(min(seconds*float64(time.Second), float64(maxCacheTTL)))
}
