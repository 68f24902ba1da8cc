package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

const (
	failureWeight         = 0.08 // weight of one answer in a server's failure average
	minEjectSamples       = 8    // answers before the average may eject
	ejectStreak           = 4    // failures in a row that eject
	ejectFailureRate      = 0.3  // failure average that ejects ...
	ejectMedianFactor     = 3.0  // ... where it is also so many times the pool's median
	minEjection           = time.Second
	maxEjection           = 5 * time.Second
	minDownTime           = 250 * time.Millisecond
	maxDownTime           = 2 * time.Second
	maxLapseGrace         = 1200 * time.Millisecond // most; see lapsedFor
	massLapseFraction     = 0.3                     // of a service's servers, that go at once
	minMassLapse          = 2
	maxLastResortTime     = 800 * time.Millisecond // most; see lastResortFor
	defaultFullPause      = 60 * time.Millisecond  // after a server turned a request away and did not say for how long
	rateWeight            = 0.1
	minRateSampleTokens   = 1500
	minTokenRate          = 4.0   // tokens a millisecond
	maxTokenRate          = 600.0 // tokens a millisecond
	firstEventOverhead    = 40 * time.Millisecond
	initialPlainLatencyMS = 40.0 // milliseconds
)

// server is what the machine knows of one backend server.
type server struct {
	Server
	region    string        // of its data hall; empty: not known
	leavingAt time.Duration // when it was first known to leave, by its entry or its answers
	leaving   bool
	gone      bool
	notices   serverNotices
	// lapsedAt is when the server's entry went together with many others; it is
	// still used for lapsedFor. 0: it did not.
	lapsedAt time.Duration

	evacuated       bool // its data hall must get nothing
	hallUnreachable bool // no server of its data hall can be reached; see hallReach
	cold            coldState

	listedAt      time.Duration // when it was first listed, or listed again
	respondedAt   time.Duration // when it last answered this router
	target        bool          // of the version that its service moves to
	versionBarred bool          // its version gets nothing at present; see admit
	cohort        string        // that its answers count for; see cohortOf

	running       int        // of this router
	pendingTokens int        // tokens of this router
	peerLoad      loads.Load // of all other routers
	loadKey       uint32     // of the server in loads
	idHash        uint64     // of its id

	tokenRate float64 // tokens a millisecond, 0 until measured
	latencyMS float64 // milliseconds of a plain answer, 0 until measured

	failureRate   float64 // average, 0 to 1
	samples       int
	failureStreak int
	downUntil     time.Duration // nothing could be sent
	ejectedUntil  time.Duration // fails too often
	lastPause     time.Duration // of the last ejection or down time
	probation     bool          // must first answer one repeatable request
	fullUntil     time.Duration
	blamed        crashCheck
}

// usable tells whether new requests may go to a server at all.
func (s *server) usable(now time.Duration) bool {
	return s.available() && now >= s.downUntil && now >= s.ejectedUntil && !s.inBackoff(now)
}

// available tells whether nothing keeps new requests from a server for long.
func (s *server) available() bool { return !s.leaving && !s.evacuated && !s.hallUnreachable }

// accepts tells whether new requests that may be served in some regions may go to a server.
func (s *server) accepts(now time.Duration, regions Regions) bool {
	return s.usable(now) && regions.Allows(s.region)
}

func (s *server) totalRunning() int { return s.running + int(s.peerLoad.Running) }
func (s *server) totalPending() int { return s.pendingTokens + int(s.peerLoad.Pending) }

// release takes an attempt off the server's load.
func (s *server) release(r *requestState) {
	s.running--
	s.promptRead(r)
}

// promptRead says that an attempt's prompt has been read.
func (s *server) promptRead(r *requestState) {
	s.pendingTokens -= r.pendingTokens
	r.pendingTokens = 0
}

// recordFirstEvent takes in the time to a first event.
func (s *server) recordFirstEvent(p *pool, r *requestState, elapsed time.Duration) {
	ms := float64(elapsed) / float64(time.Millisecond)
	if p.engine == nil {
		s.latencyMS = movingAverage(s.latencyMS, ms, initialPlainLatencyMS)
		return
	}
	if r.tokensAhead < minRateSampleTokens {
		return
	}
	measured := measuredTokenRate(r.tokensAhead, ms)
	s.tokenRate = movingAverage(s.tokenRate, measured, p.tokenRate)
	p.tokenRate += rateWeight / 4 * (measured - p.tokenRate)
}

// measuredTokenRate is how fast a server read some tokens, in tokens a millisecond.
func measuredTokenRate(tokens int, elapsed float64) float64 {
	spent := max(elapsed-float64(firstEventOverhead/time.Millisecond), 1)
	return min(max(float64(tokens)/spent, minTokenRate), maxTokenRate)
}

// movingAverage moves an average, which starts at first, towards a value.
func movingAverage(old, value, first float64) float64 {
	if old == 0 {
		old = first
	}
	return old + rateWeight*(value-old)
}

// recordSuccess takes in a whole answer; it returns whether the server has come
// back by it.
func (s *server) recordSuccess() bool {
	s.failureRate -= failureWeight * s.failureRate
	s.samples++
	s.failureStreak = 0
	if !s.probation {
		return false
	}
	s.probation = false
	s.failureRate = min(s.failureRate, ejectFailureRate*2/3)
	return true
}

// recordFailure takes in a failure and tells whether the server should be ejected.
func (s *server) recordFailure(weight int, median float64) bool {
	for range weight {
		s.failureRate += failureWeight * (1 - s.failureRate)
	}
	s.samples++
	s.failureStreak++
	failsOften := s.samples >= minEjectSamples && s.failureRate > ejectFailureRate && s.failureRate > ejectMedianFactor*median
	return s.probation || s.failureStreak >= ejectStreak || failsOften
}

// eject takes the server out for a time that doubles.
func (s *server) eject(now time.Duration) time.Duration {
	s.lastPause = min(max(s.lastPause*2, minEjection), maxEjection)
	s.ejectedUntil = now + s.lastPause
	s.probation = true
	s.failureStreak = 0
	return s.lastPause
}

// markDown takes the server out after nothing could be sent to it.
func (s *server) markDown(now time.Duration) time.Duration {
	s.lastPause = min(max(s.lastPause*2, minDownTime), maxDownTime)
	s.downUntil = now + s.lastPause
	s.probation = true
	return s.lastPause
}
