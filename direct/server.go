package direct

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

const (
	failureStep      = 0.08 // weight of one answer in a server's failure average
	minSamples       = 8    // answers before the average may eject
	ejectStreak      = 4    // failures in a row that eject
	ejectAbove       = 0.3  // failure average that ejects ...
	ejectOverMedian  = 3.0  // ... where it is also so many times the pool's median
	ejectShortest    = time.Second
	ejectLongest     = 5 * time.Second
	downShortest     = 250 * time.Millisecond
	downLongest      = 2 * time.Second
	lapseHold        = 1200 * time.Millisecond // most; see lapsedFor
	lapseShare       = 0.3                     // of a service's servers, that go at once
	lapseLeast       = 2
	lastResortTime   = 800 * time.Millisecond // most; see lastResortFor
	fullPause        = 60 * time.Millisecond  // after a server turned a request away and did not say for how long
	learnStep        = 0.1
	learnFromTokens  = 1500
	slowestRate      = 4.0   // tokens a millisecond
	fastestRate      = 600.0 // tokens a millisecond
	firstEventBase   = 40 * time.Millisecond
	plainLatencyInit = 40.0 // milliseconds
)

// server is what the machine knows of one backend server.
type server struct {
	Server
	region    string        // of its data hall; empty: not known
	leavingAt time.Duration // when it was first known to leave, by its entry or its answers
	leaving   bool
	gone      bool
	notices   notices
	// lapsedAt is when the server's entry went together with many others; it is
	// still used for lapsedFor. 0: it did not.
	lapsedAt time.Duration

	evacuated bool // its data hall must get nothing
	hallLost  bool // no server of its data hall can be reached; see hallReach
	cold      coldState

	listedAt   time.Duration // when it was first listed, or listed again
	answeredAt time.Duration // when it last answered this router
	target     bool          // of the version that its service moves to
	barred     bool          // its version gets nothing at present; see admit
	cohort     string        // that its answers count for; see cohortOf

	running int        // of this router
	pending int        // tokens of this router
	others  loads.Load // of all other routers
	key     uint32     // of the server in loads
	hash    uint64     // of its id

	tokenRate float64 // tokens a millisecond, 0 until measured
	latency   float64 // milliseconds of a plain answer, 0 until measured

	failures     float64 // average, 0 to 1
	samples      int
	streak       int
	downUntil    time.Duration // nothing could be sent
	ejectedUntil time.Duration // fails too often
	pause        time.Duration // of the last ejection or down time
	probation    bool          // must first answer one repeatable request
	fullUntil    time.Duration
	blamed       blame
}

// usable tells whether new requests may go to a server at all.
func (s *server) usable(now time.Duration) bool {
	return s.available() && now >= s.downUntil && now >= s.ejectedUntil && !s.backsOff(now)
}

// available tells whether nothing keeps new requests from a server for long.
func (s *server) available() bool { return !s.leaving && !s.evacuated && !s.hallLost }

// takes tells whether new requests that may be served in some regions may go to a server.
func (s *server) takes(now time.Duration, regions Regions) bool {
	return s.usable(now) && regions.Allows(s.region)
}

func (s *server) allRunning() int { return s.running + int(s.others.Running) }
func (s *server) allPending() int { return s.pending + int(s.others.Pending) }

// release takes an attempt off the server's load.
func (s *server) release(r *run) {
	s.running--
	s.started(r)
}

// started says that an attempt's prompt has been read.
func (s *server) started(r *run) {
	s.pending -= r.pending
	r.pending = 0
}

// learnFirst takes in the time to a first event.
func (s *server) learnFirst(p *pool, r *run, elapsed time.Duration) {
	ms := float64(elapsed) / float64(time.Millisecond)
	if p.engine == nil {
		s.latency = average(s.latency, ms, plainLatencyInit)
		return
	}
	if r.ahead < learnFromTokens {
		return
	}
	seen := readingRate(r.ahead, ms)
	s.tokenRate = average(s.tokenRate, seen, p.tokenRate)
	p.tokenRate += learnStep / 4 * (seen - p.tokenRate)
}

// readingRate is how fast a server read some tokens, in tokens a millisecond.
func readingRate(tokens int, elapsed float64) float64 {
	spent := max(elapsed-float64(firstEventBase/time.Millisecond), 1)
	return min(max(float64(tokens)/spent, slowestRate), fastestRate)
}

// average moves an average, which starts at first, towards a value.
func average(old, value, first float64) float64 {
	if old == 0 {
		old = first
	}
	return old + learnStep*(value-old)
}

// succeeded takes in a whole answer; it returns whether the server has come
// back by it.
func (s *server) succeeded() bool {
	s.failures -= failureStep * s.failures
	s.samples++
	s.streak = 0
	if !s.probation {
		return false
	}
	s.probation = false
	s.failures = min(s.failures, ejectAbove*2/3)
	return true
}

// failed takes in a failure and tells whether the server should be ejected.
func (s *server) failed(weight int, median float64) bool {
	for range weight {
		s.failures += failureStep * (1 - s.failures)
	}
	s.samples++
	s.streak++
	often := s.samples >= minSamples && s.failures > ejectAbove && s.failures > ejectOverMedian*median
	return s.probation || s.streak >= ejectStreak || often
}

// eject takes the server out for a time that doubles.
func (s *server) eject(now time.Duration) time.Duration {
	s.pause = min(max(s.pause*2, ejectShortest), ejectLongest)
	s.ejectedUntil = now + s.pause
	s.probation = true
	s.streak = 0
	return s.pause
}

// down takes the server out after nothing could be sent to it.
func (s *server) down(now time.Duration) time.Duration {
	s.pause = min(max(s.pause*2, downShortest), downLongest)
	s.downUntil = now + s.pause
	s.probation = true
	return s.pause
}
