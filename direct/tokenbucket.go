package direct

import (
	"math"
	"time"
)

const (
	// bucketDepth is the time over which unused tokens accumulate.
	bucketDepth = 400 * time.Millisecond
	// lateReserveFraction is the fill level, as a fraction of a full bucket, above which
	// requests that are already late may take tokens too.
	lateReserveFraction = 0.7
	// maxCorrection bounds the factor by which a router raises or lowers its part of a team's
	// limit; see correction.
	maxCorrection = 2.0
	// minRouterFraction is the smallest part of a team's limit that a router grants, as a
	// fraction of an even split between routers. Without it, a router would refuse callers that
	// have just switched to it until it had seen enough of their requests.
	minRouterFraction = 0.5
)

// tokenBucket limits what this router may grant a team that asks for more than its share. It
// holds the router's part of the team's limit, so that all routers together grant the team its
// limit in every second. The zero value is unlimited.
type tokenBucket struct {
	rate   float64 // tokens per second; 0: unlimited
	tokens float64 // available now; negative after a request larger than the balance
}

// refill adds the tokens for the elapsed time and caps the balance at the bucket's depth.
func (b *tokenBucket) refill(rate float64, elapsed time.Duration) {
	if b.rate == 0 {
		b.tokens = 0
	}
	b.rate = rate
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), rate*bucketDepth.Seconds())
}

// empty reports whether the bucket is limited and has no tokens left.
func (b *tokenBucket) empty() bool { return b.rate > 0 && b.tokens <= 0 }

// aboveReserve reports whether the balance exceeds the reserve that is kept for requests that
// are not late.
func (b *tokenBucket) aboveReserve() bool {
	return b.rate == 0 || b.tokens > lateReserveFraction*b.rate*bucketDepth.Seconds()
}

// covers reports whether one more request can be granted within the given time, after waiting
// tokens for the team's requests that are queued before it.
func (b *tokenBucket) covers(waiting float64, wait time.Duration) bool {
	return b.rate == 0 || b.tokens+b.rate*wait.Seconds() > waiting
}

// subtract removes tokens; a negative amount returns them.
func (b *tokenBucket) subtract(tokens float64) {
	if b.rate > 0 {
		b.tokens -= tokens
	}
}

// refillBuckets refills the buckets of the teams that ask for more than their share. The team's
// limit is split between routers in proportion to its recent demand at each.
func (m *Machine) refillBuckets(now, elapsed time.Duration) {
	minFraction := minRouterFraction / float64(max(m.routers, 1))
	for _, t := range m.teams {
		offered := t.offeredRate(now)
		limits := m.limitsOf(t)
		if limits.level <= 0 || offered <= limits.baseLevel || !m.enabled(TokenBuckets) {
			t.tokenBucket = tokenBucket{}
			continue
		}
		limit := min(limits.level, limits.evenCap)
		if math.IsInf(limit, 0) {
			t.tokenBucket = tokenBucket{}
			continue
		}
		localFraction := max(t.localFraction(now)*correction(limit, t.servedRate(now)), minFraction)
		t.tokenBucket.refill(limit*localFraction, elapsed)
	}
}

// correction returns the factor applied to a router's part of a team's limit. Above 1, the team
// is served less than its limit, because routers short of processor time don't use their parts;
// the other routers make up for them. Below 1, the team is served more than its limit, because
// its callers switch routers faster than routers exchange reports; all routers then grant less.
func correction(limit, served float64) float64 {
	if served <= limit/maxCorrection {
		return maxCorrection
	}
	return max(limit/served, 1/maxCorrection)
}
