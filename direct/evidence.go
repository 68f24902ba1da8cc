package direct

import (
	"time"

	"github.com/croftvale/croftvale/rollout"
)

const (
	// slowTimes is how many times as long as at old servers an answer must take to count
	// as bad: a slow version takes several times as long, and servers of one version under
	// load differ by less than this.
	slowFactor = 2.5
	// slowFirst and slowStream are how much longer, at the least, a bad answer takes until
	// its first event and in its stream: smaller differences come from networks and chance.
	slowFirstEventMargin = 20 * time.Millisecond
	slowStreamMargin     = 100 * time.Millisecond
	// settleTime is how long after a server was listed its answers are not evidence: they
	// are slow because connections must be opened and caches are empty.
	evidenceDelay = time.Second
)

// speed is how an answer compares with those of old servers.
type speed uint8

const (
	unknownSpeed speed = iota // too few answers of old servers are known to compare with
	normalSpeed
	slowSpeed // it took several times as long
)

// observation is what one attempt has shown so far about the version of its server.
type observation struct {
	eligible        bool          // the server was no longer starting up, so its answers are evidence
	expectedMS      float64       // milliseconds to the first event
	firstEventAt    time.Duration // when the first event of a stream came; 0: it has not
	firstEventSpeed speed         // how soon it came
	reported        bool          // an AnswerCmd was emitted on how it began
}

// watch begins the observation of an attempt that has just been sent.
func (m *Machine) startObservation(now time.Duration, p *pool, r *requestState, s *server) {
	if p.gate == nil {
		return
	}
	r.observed = observation{
		eligible:   !s.cold.active(now) && now-s.listedAt >= evidenceDelay,
		expectedMS: p.expectedMS(r, s),
	}
}

// sawFirst takes in that the first event of an attempt came. How a stream began is
// reported at the next tick, not here: a failure may follow at once, and then it counts
// in place of the good beginning.
func (m *Machine) observeFirstEvent(now time.Duration, p *pool, r *requestState) {
	if p.gate == nil || r.observed.firstEventAt > 0 {
		return
	}
	p.gate.exposure.countReached(r)
	r.currentServer.respondedAt = now
	if r.Kind != Stream {
		return
	}
	r.observed.firstEventAt = now
	r.observed.firstEventSpeed = m.compareFirstEvent(now, p, r, r.currentServer)
	m.startedRequests = append(m.startedRequests, r)
}

// tellBegun reports how those streams began whose first events came since the last tick.
func (m *Machine) reportStreamStarts(now time.Duration) {
	for i, r := range m.startedRequests {
		if r.currentServer != nil && r.observed.firstEventAt > 0 && !r.observed.reported {
			m.reportSpeed(now, m.pool(r.Service), r, r.currentServer, false, r.observed.firstEventSpeed)
		}
		m.startedRequests[i] = nil
	}
	m.startedRequests = m.startedRequests[:0]
}

// sawEnd takes in how an attempt ended.
func (m *Machine) observeEnd(p *pool, msg AttemptEndMsg, r *requestState, s *server) {
	if p.gate == nil {
		return
	}
	seen := &r.observed
	switch {
	case msg.Outcome == Failed:
		m.reportFailure(msg.Now, p, r, s)
	case msg.Outcome == Hung:
		if !msg.RouterLate && seen.firstEventAt == 0 && s.respondedToOthers(r.sentAt, msg.Now) {
			m.reportResponse(msg.Now, r, s, false, true)
		}
	case msg.Outcome != Done:
		// Such an end is not evidence, but how the stream began is.
		if seen.firstEventAt > 0 && !seen.reported {
			m.reportSpeed(msg.Now, p, r, s, false, seen.firstEventSpeed)
		}
	case seen.reported:
		m.reportSpeed(msg.Now, p, r, s, true, m.compareStream(msg.Now, p, r, s))
	case seen.firstEventAt > 0:
		m.reportSpeed(msg.Now, p, r, s, false, seen.firstEventSpeed)
	default:
		m.reportSpeed(msg.Now, p, r, s, false, m.compareFirstEvent(msg.Now, p, r, s))
	}
	if msg.Outcome == Done || msg.Outcome == Failed {
		s.respondedAt = msg.Now
	}
}

// answeredOthers tells whether a server has answered other requests in the second half of
// the time that one request waited for it. A server that answers nobody has stopped, which
// is not evidence on its version.
func (s *server) respondedToOthers(since, now time.Duration) bool {
	return s.respondedAt > since+(now-since)/2
}

// tellSpeed emits an answer that did not fail; one of the target that can't be compared waits
// for a failure.
func (m *Machine) reportSpeed(now time.Duration, p *pool, r *requestState, s *server, afterStart bool, is speed) {
	if s.target && is == unknownSpeed && r.observed.eligible {
		r.observed.reported = true
		p.gate.unrated.add(unratedKey{r.Route, s.cohort, afterStart})
		return
	}
	m.reportResponse(now, r, s, afterStart, is == slowSpeed)
}

// tellFailure emits a failure, and before it the answers that it is to be weighed with.
func (m *Machine) reportFailure(now time.Duration, p *pool, r *requestState, s *server) {
	afterStart := r.observed.reported
	if s.target && r.observed.eligible {
		for _, afterStart := range []bool{false, true} {
			for range p.gate.unrated.take(unratedKey{r.Route, s.cohort, afterStart}) {
				m.reportResponse(now, r, s, afterStart, false)
			}
		}
	}
	m.reportResponse(now, r, s, afterStart, true)
}

// tell emits one answer as evidence on the version of its server.
func (m *Machine) reportResponse(now time.Duration, r *requestState, s *server, afterStart, bad bool) {
	g := m.pool(r.Service).gate
	r.observed.reported = true
	if g.Target == "" || !r.observed.eligible || (!s.target && !g.Uses(s.Version)) {
		return
	}
	m.emit(ResponseCmd{Response: rollout.ResponseMsg{
		Now: now, Service: r.Service, Route: r.Route, Cohort: s.cohort, Target: s.target, AfterStart: afterStart, Bad: bad,
	}})
}

// firstSpeed compares how soon a first event, or a whole answer, came with what is expected
// from the speed of old servers. Answers of old servers then update that speed.
func (m *Machine) compareFirstEvent(now time.Duration, p *pool, r *requestState, s *server) speed {
	elapsed := inMilliseconds(now - r.sentAt)
	delay := &p.baseline.routes.get(r.Route).delayRatio
	usual := delay.mean() * r.observed.expectedMS
	rating := rateSpeed(delay, elapsed > slowFactor*usual+inMilliseconds(slowFirstEventMargin))
	if !s.target && r.observed.eligible {
		p.updateBaseline(r, elapsed)
	}
	return rating
}

// compare is the speed of an answer that is slow, or not, beside the average of old servers.
func rateSpeed(old *geometricMean, slow bool) speed {
	switch {
	case !old.ready():
		return unknownSpeed
	case slow:
		return slowSpeed
	}
	return normalSpeed
}

// learnFirst updates the baseline by the time, in milliseconds, that an old server took to
// a first event or a whole answer.
func (p *pool) updateBaseline(r *requestState, elapsed float64) {
	p.baseline.routes.get(r.Route).delayRatio.add(elapsed/r.observed.expectedMS, minFirstEventMS/r.observed.expectedMS)
	if p.engine != nil {
		p.baseline.updateRate(r.tokensAhead, elapsed, p.tokenRate)
	}
}

// tokenSpeed compares how long a stream took for its tokens with streams of old servers.
func (m *Machine) compareStream(now time.Duration, p *pool, r *requestState, s *server) speed {
	if r.OutputTokens <= 0 {
		return normalSpeed
	}
	tokens := float64(r.OutputTokens)
	elapsed := inMilliseconds(now - r.observed.firstEventAt)
	token := &p.baseline.routes.get(r.Route).tokenMS
	usual := token.mean() * tokens
	rating := rateSpeed(token, elapsed > slowFactor*usual && elapsed > usual+inMilliseconds(slowStreamMargin))
	if !s.target && r.observed.eligible {
		token.add(elapsed/tokens, minTokenMS)
	}
	return rating
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
