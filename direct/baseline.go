package direct

import (
	"math"
	"time"
)

const (
	// baselineWeight is the weight of one answer in an average of old servers' answers: it
	// follows a flood of callers within some tens of answers.
	baselineWeight = 0.05
	// baselineMinAnswers is how many answers of a route an average must hold before answers
	// are compared with it.
	baselineMinResponses = 8
	// minFirstEventMS and fastestToken bound what is averaged from below, in milliseconds,
	// below which clocks and networks say more than servers.
	minFirstEventMS = 0.5
	minTokenMS      = 0.01
)

// baseline is how fast servers of the versions in use answer. The zero value knows
// nothing.
type baseline struct {
	tokensPerMS float64 // tokens a millisecond that one reads; 0: not measured
	routes      byRoute[routeBaseline]
}

// routeBaseline is how fast the answers of one route come.
type routeBaseline struct {
	delayRatio geometricMean // of the first event or whole answer, in parts of what was expected
	tokenMS    geometricMean // milliseconds of a token of a stream, as many as were expected
}

// updateRate takes in the time to a first event at an old server.
func (b *baseline) updateRate(tokens int, elapsed, initial float64) {
	if tokens < minRateSampleTokens {
		return
	}
	if b.tokensPerMS == 0 {
		b.tokensPerMS = initial
	}
	b.tokensPerMS += rateWeight / 4 * (measuredTokenRate(tokens, elapsed) - b.tokensPerMS)
}

// expectedMS returns the milliseconds to the first event of a request that is sent now, or
// to its whole answer, before it is known how far answers lie from that.
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

// geometricMean is a running average of logarithms, which a few very late answers hardly
// move.
type geometricMean struct {
	logMean float64
	samples int
}

func (g *geometricMean) add(value, floor float64) {
	g.samples++
	step := max(1/float64(g.samples), baselineWeight)
	g.logMean += step * (math.Log(max(value, floor)) - g.logMean)
}

func (g *geometricMean) ready() bool   { return g.samples >= baselineMinResponses }
func (g *geometricMean) mean() float64 { return math.Exp(g.logMean) }
