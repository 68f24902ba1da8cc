package direct

import (
	"time"

	"github.com/croftvale/croftvale/rollout"
)

const (
	// slowFactor is how many times longer than at old servers a response must take to count as
	// bad. A slow version takes several times as long; servers of one version under load differ
	// by less than this factor.
	slowFactor = 2.5
	// slowFirstEventMargin and slowStreamMargin are the minimum extra time that a bad response
	// takes until its first event and in its stream. Smaller differences are caused by networks
	// and chance.
	slowFirstEventMargin = 20 * time.Millisecond
	slowStreamMargin     = 100 * time.Millisecond
	// evidenceDelay is how long the responses of a newly listed server are not used as
	// evidence. They are slow because connections are not open yet and caches are empty.
	evidenceDelay = time.Second
)

// speed is the speed of a response compared with those of old servers.
type speed uint8

const (
	unknownSpeed speed = iota // too few responses of old servers to compare with
	normalSpeed
	slowSpeed // took several times as long
)

// observation is the evidence that an attempt has given so far about the version of its server.
type observation struct {
	eligible        bool          // whether responses count as evidence: not those of a cold or newly listed server
	expectedMS      float64       // expected time to the first event, in milliseconds
	firstEventAt    time.Duration // when the first event of a stream arrived; 0: not yet
	firstEventSpeed speed
	reported        bool // a ResponseCmd was emitted about the start
}

// startObservation starts the observation of an attempt that has just been sent.
func (m *Machine) startObservation(now time.Duration, p *pool, r *requestState, s *server) {
	if p.gate == nil {
		return
	}
	r.observed = observation{
		eligible:   !s.cold.active(now) && now-s.listedAt >= evidenceDelay,
		expectedMS: p.expectedMS(r, s),
	}
}

// observeFirstEvent handles the first event of an attempt. The start of a stream is reported at
// the next tick, not here: if a failure follows at once, it counts instead of the good start.
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

// reportStreamStarts reports the start of each stream whose first event arrived since the last
// tick.
func (m *Machine) reportStreamStarts(now time.Duration) {
	for i, r := range m.startedRequests {
		if r.currentServer != nil && r.observed.firstEventAt > 0 && !r.observed.reported {
			m.reportSpeed(now, m.pool(r.Service), r, r.currentServer, false, r.observed.firstEventSpeed)
		}
		m.startedRequests[i] = nil
	}
	m.startedRequests = m.startedRequests[:0]
}

// observeEnd handles the end of an attempt.
func (m *Machine) observeEnd(p *pool, msg AttemptEndMsg, r *requestState, s *server) {
	if p.gate == nil {
		return
	}
	observed := &r.observed
	switch {
	case msg.Outcome == Failed:
		m.reportFailure(msg.Now, p, r, s)
	case msg.Outcome == Hung:
		if !msg.RouterLate && observed.firstEventAt == 0 && s.respondedToOthers(r.sentAt, msg.Now) {
			m.reportResponse(msg.Now, r, s, false, true)
		}
	case msg.Outcome != Done:
		// Such an outcome is not evidence, but the start of the stream is.
		if observed.firstEventAt > 0 && !observed.reported {
			m.reportSpeed(msg.Now, p, r, s, false, observed.firstEventSpeed)
		}
	case observed.reported:
		m.reportSpeed(msg.Now, p, r, s, true, m.compareStream(msg.Now, p, r, s))
	case observed.firstEventAt > 0:
		m.reportSpeed(msg.Now, p, r, s, false, observed.firstEventSpeed)
	default:
		m.reportSpeed(msg.Now, p, r, s, false, m.compareFirstEvent(msg.Now, p, r, s))
	}
	if msg.Outcome == Done || msg.Outcome == Failed {
		s.respondedAt = msg.Now
	}
}

// respondedToOthers reports whether a server responded to other requests in the second half of
// the time that one request waited for it. A server that responds to nobody has stopped, which
// is not evidence about its version.
func (s *server) respondedToOthers(since, now time.Duration) bool {
	return s.respondedAt > since+(now-since)/2
}

// reportSpeed reports a response that did not fail. If a response of the target version can't
// be compared, it is held back until a failure occurs.
func (m *Machine) reportSpeed(now time.Duration, p *pool, r *requestState, s *server, afterStart bool, rating speed) {
	if s.target && rating == unknownSpeed && r.observed.eligible {
		r.observed.reported = true
		p.gate.unrated.add(unratedKey{r.Route, s.cohort, afterStart})
		return
	}
	m.reportResponse(now, r, s, afterStart, rating == slowSpeed)
}

// reportFailure reports a failure, and before it the responses that were held back, so that the
// failure is weighed against them.
func (m *Machine) reportFailure(now time.Duration, p *pool, r *requestState, s *server) {
	afterStart := r.observed.reported
	if s.target && r.observed.eligible {
		for _, heldAfterStart := range []bool{false, true} {
			for range p.gate.unrated.take(unratedKey{r.Route, s.cohort, heldAfterStart}) {
				m.reportResponse(now, r, s, heldAfterStart, false)
			}
		}
	}
	m.reportResponse(now, r, s, afterStart, true)
}

// reportResponse emits one response as evidence about the version of its server.
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

// compareFirstEvent compares the time to a first event, or to a whole response, with the
// expected time of old servers. Responses of old servers then update the baseline.
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

// rateSpeed returns the speed of a response, given whether it is slow compared with the average
// of old servers.
func rateSpeed(old *geometricMean, slow bool) speed {
	switch {
	case !old.ready():
		return unknownSpeed
	case slow:
		return slowSpeed
	}
	return normalSpeed
}

// updateBaseline updates the baseline with the time in milliseconds that an old server took to
// a first event or a whole response.
func (p *pool) updateBaseline(r *requestState, elapsed float64) {
	p.baseline.routes.get(r.Route).delayRatio.add(elapsed/r.observed.expectedMS, minFirstEventMS/r.observed.expectedMS)
	if p.engine != nil {
		p.baseline.updateRate(r.tokensAhead, elapsed, p.tokenRate)
	}
}

// compareStream compares the time per token of a stream with that of streams of old servers.
// Streams of old servers then update the baseline.
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
