package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

const (
	failureWeight         = 0.08 // weight of one response in a server's failure rate
	minEjectSamples       = 8    // responses before the failure rate may eject
	ejectStreak           = 4    // failures in a row that eject
	ejectFailureRate      = 0.3  // failure rate above which a server is ejected ...
	ejectMedianFactor     = 3.0  // ... if it also exceeds this multiple of the pool's median
	minEjection           = time.Second
	maxEjection           = 5 * time.Second
	minDownTime           = 250 * time.Millisecond
	maxDownTime           = 2 * time.Second
	maxLapseGrace         = 1200 * time.Millisecond // upper bound; see lapseDuration
	massLapseFraction     = 0.3                     // of a service's servers that vanish at once
	minMassLapse          = 2                       // servers that vanish at once
	maxLastResortTime     = 800 * time.Millisecond  // upper bound; see lastResortDuration
	defaultFullPause      = 60 * time.Millisecond   // after a server declined a request and named no duration
	rateWeight            = 0.1                     // weight of one sample in a server's token rate or latency
	minRateSampleTokens   = 1500                    // minimum number of tokens that a token rate is measured over
	minTokenRate          = 4.0                     // tokens per millisecond
	maxTokenRate          = 600.0                   // tokens per millisecond
	firstEventOverhead    = 40 * time.Millisecond   // time to a first event besides reading tokens
	initialPlainLatencyMS = 40.0
)

// server is the machine's state of one backend server.
type server struct {
	Server
	region    string        // of its data hall; empty: unknown
	leavingAt time.Duration // when it was first known to be leaving, from its entry or its responses
	leaving   bool
	gone      bool
	notices   serverNotices
	// lapsedAt is when the server's entry vanished together with many others. The server stays
	// in use for lapseDuration. 0: it has not lapsed.
	lapsedAt time.Duration

	evacuated       bool // its data hall is evacuated
	hallUnreachable bool // no server in its data hall is reachable; see hallReach
	cold            coldState

	listedAt      time.Duration // when it was first listed, or last listed again after draining
	respondedAt   time.Duration // of the last response to this router
	restarted     bool          // its process is another one than its entry names
	target        bool          // runs the version that is rolled out
	versionBarred bool          // its version gets no requests at present
	soleOfVersion bool          // no other available server has its version, though others have more
	cohort        string        // that its responses count for; see cohortOf

	running       int        // requests of this router
	pendingTokens int        // that it has yet to read for this router
	peerLoad      loads.Load // of all other routers
	loadKey       uint32     // of the server in package loads
	idHash        uint64     // of its ID

	tokenRate float64 // tokens per millisecond; 0: not measured
	latencyMS float64 // of a plain response; 0: not measured

	failureRate   float64 // moving average, 0 to 1
	samples       int
	failureStreak int
	downUntil     time.Duration // after a request could not be sent
	ejectedUntil  time.Duration // after too many failures
	lastPause     time.Duration // of the last ejection or down time
	probation     bool          // must first serve one repeatable request
	fullUntil     time.Duration
	silentAt      time.Duration // when a backup was last asked for of one of its requests; 0: never
	crashState    crashCheck
}

// usable reports whether new requests may go to a server now.
func (s *server) usable(now time.Duration) bool {
	return s.available() && now >= s.downUntil && now >= s.ejectedUntil && !s.inBackoff(now)
}

// available reports whether no lasting condition keeps new requests from a server.
func (s *server) available() bool { return !s.leaving && !s.evacuated && !s.hallUnreachable }

// accepts reports whether a request may go to a server now.
func (s *server) accepts(now time.Duration, r *Request) bool { return s.usable(now) && r.allows(s) }

func (s *server) totalRunning() int { return s.running + int(s.peerLoad.Running) }
func (s *server) totalPending() int { return s.pendingTokens + int(s.peerLoad.Pending) }

// release removes an attempt from the server's load.
func (s *server) release(r *requestState) {
	s.running--
	s.markPromptRead(r)
}

// markPromptRead removes an attempt's prompt from the tokens that the server has yet to read.
func (s *server) markPromptRead(r *requestState) {
	s.pendingTokens -= r.pendingTokens
	r.pendingTokens = 0
}

// recordFirstEvent updates the server's speed from the time to a first event.
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

// measuredTokenRate returns the rate at which a server read tokens in an elapsed time in
// milliseconds, in tokens per millisecond.
func measuredTokenRate(tokens int, elapsedMS float64) float64 {
	readMS := max(elapsedMS-float64(firstEventOverhead/time.Millisecond), 1)
	return min(max(float64(tokens)/readMS, minTokenRate), maxTokenRate)
}

// movingAverage returns an exponentially weighted moving average after a new value. An old
// average of 0 means that nothing was measured yet; the average then starts at first.
func movingAverage(old, value, first float64) float64 {
	if old == 0 {
		old = first
	}
	return old + rateWeight*(value-old)
}

// recordSuccess records a whole response and reports whether it ended the server's probation.
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

// recordFailure records a failure and reports whether the server should be ejected.
func (s *server) recordFailure(weight int, median float64) bool {
	for range weight {
		s.failureRate += failureWeight * (1 - s.failureRate)
	}
	s.samples++
	s.failureStreak++
	failsOften := s.samples >= minEjectSamples && s.failureRate > ejectFailureRate && s.failureRate > ejectMedianFactor*median
	return s.probation || s.failureStreak >= ejectStreak || failsOften
}

// eject ejects the server for a time that doubles with each ejection, up to maxEjection, and
// returns the time.
func (s *server) eject(now time.Duration) time.Duration {
	s.lastPause = min(max(s.lastPause*2, minEjection), maxEjection)
	s.ejectedUntil = now + s.lastPause
	s.probation = true
	s.failureStreak = 0
	return s.lastPause
}

// markDown takes the server out of use after a request could not be sent to it, and returns for
// how long.
func (s *server) markDown(now time.Duration) time.Duration {
	s.lastPause = min(max(s.lastPause*2, minDownTime), maxDownTime)
	s.downUntil = now + s.lastPause
	s.probation = true
	return s.lastPause
}
