package direct

import (
	"math"
	"time"
)

const (
	// baselineWeight is the minimum weight of one response in a baseline average. The average
	// follows a burst of callers within some tens of responses.
	baselineWeight = 0.05
	// baselineMinResponses is the number of responses of a route that an average must hold
	// before responses are compared with it.
	baselineMinResponses = 8
	// minFirstEventMS and minTokenMS are lower bounds, in milliseconds, of the values that are
	// averaged. Smaller values depend more on clocks and networks than on servers.
	minFirstEventMS = 0.5
	minTokenMS      = 0.01
)

// baseline holds how fast servers of the versions in use respond. The zero value holds no
// measurements.
type baseline struct {
	tokensPerMS float64 // reading speed of one server, tokens per millisecond; 0: not measured
	routes      byRoute[routeBaseline]
}

// routeBaseline holds how fast the responses of one route are.
type routeBaseline struct {
	delayRatio geometricMean // time to the first event or whole response, divided by the expected time
	tokenMS    geometricMean // milliseconds per token of a stream, by the expected number of tokens
}

// updateRate updates the reading speed with the time to a first event at an old server.
func (b *baseline) updateRate(tokens int, elapsed, initial float64) {
	if tokens < minRateSampleTokens {
		return
	}
	if b.tokensPerMS == 0 {
		b.tokensPerMS = initial
	}
	b.tokensPerMS += rateWeight / 4 * (measuredTokenRate(tokens, elapsed) - b.tokensPerMS)
}

// expectedMS returns the expected milliseconds to the first event of a request that is sent
// now, or to its whole response, before the route's delayRatio is applied.
func (p *pool) expectedMS(r *requestState, s *server) float64 {
	if p.engine == nil {
		slots := max(s.Slots, 1)
		excess := max(s.totalRunning()-slots, 0)
		return initialPlainLatencyMS * (1 + float64(excess)/float64(slots))
	}
	rate := p.baseline.tokensPerMS
	if rate == 0 {
		rate = p.tokenRate
	}
	return float64(firstEventOverhead/time.Millisecond) + float64(r.tokensAhead)/max(rate, 1)
}

// geometricMean is a running geometric mean. A few very late responses hardly move it.
type geometricMean struct {
	logMean float64
	samples int
}

// add adds a value, or floor if the value is smaller.
func (g *geometricMean) add(value, floor float64) {
	g.samples++
	step := max(1/float64(g.samples), baselineWeight)
	g.logMean += step * (math.Log(max(value, floor)) - g.logMean)
}

func (g *geometricMean) ready() bool   { return g.samples >= baselineMinResponses }
func (g *geometricMean) mean() float64 { return math.Exp(g.logMean) }
