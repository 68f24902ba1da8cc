package direct

import (
	"math"
	"time"
)

const (
	// baselineStep is the weight of one answer in an average of old servers' answers: it
	// follows a flood of callers within some tens of answers.
	baselineStep = 0.05
	// baselineLeast is how many answers of a route an average must hold before answers
	// are compared with it.
	baselineLeast = 8
	// fastestFirst and fastestToken bound what is averaged from below, in milliseconds,
	// below which clocks and networks say more than servers.
	fastestFirst = 0.5
	fastestToken = 0.01
)

// baseline is how fast servers of the versions in use answer. The zero value knows
// nothing.
type baseline struct {
	rate   float64 // tokens a millisecond that one reads; 0: not measured
	routes byRoute[pace]
}

// pace is how fast the answers of one route come.
type pace struct {
	delay geometric // of the first event or whole answer, in parts of what was expected
	token geometric // milliseconds of a token of a stream, as many as were expected
}

// learnRate takes in the time to a first event at an old server.
func (b *baseline) learnRate(ahead int, elapsed, first float64) {
	if ahead < minRateSampleTokens {
		return
	}
	if b.rate == 0 {
		b.rate = first
	}
	b.rate += rateWeight / 4 * (measuredTokenRate(ahead, elapsed) - b.rate)
}

// expected returns the milliseconds to the first event of a request that is sent now, or
// to its whole answer, before it is known how far answers lie from that.
func (p *pool) expected(r *requestState, s *server) float64 {
	if p.engine == nil {
		slots := max(s.Slots, 1)
		excess := max(s.totalRunning()-slots, 0)
		return initialPlainLatencyMS * (1 + float64(excess)/float64(slots))
	}
	rate := p.baseline.rate
	if rate == 0 {
		rate = p.tokenRate
	}
	return float64(firstEventOverhead/time.Millisecond) + float64(r.tokensAhead)/max(rate, 1)
}

// geometric is a running average of logarithms, which a few very late answers hardly
// move.
type geometric struct {
	log float64
	n   int
}

func (g *geometric) add(value, least float64) {
	g.n++
	step := max(1/float64(g.n), baselineStep)
	g.log += step * (math.Log(max(value, least)) - g.log)
}

func (g *geometric) known() bool    { return g.n >= baselineLeast }
func (g *geometric) value() float64 { return math.Exp(g.log) }
