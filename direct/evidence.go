package direct

import (
	"time"

	"github.com/croftvale/croftvale/rollout"
)

const (
	// slowTimes is how many times as long as at old servers an answer must take to count
	// as bad: a slow version takes several times as long, and servers of one version under
	// load differ by less than this.
	slowTimes = 2.5
	// slowFirst and slowStream are how much longer, at the least, a bad answer takes until
	// its first event and in its stream: smaller differences come from networks and chance.
	slowFirst  = 20 * time.Millisecond
	slowStream = 100 * time.Millisecond
	// settleTime is how long after a server was listed its answers are not evidence: they
	// are slow because connections must be opened and caches are empty.
	settleTime = time.Second
)

// speed is how an answer compares with those of old servers.
type speed uint8

const (
	unknownSpeed speed = iota // too few answers of old servers are known to compare with
	usualSpeed
	slowSpeed // it took several times as long
)

// observation is what one attempt has shown so far about the version of its server.
type observation struct {
	counts   bool          // the server was no longer starting up, so its answers are evidence
	expected float64       // milliseconds to the first event
	firstAt  time.Duration // when the first event of a stream came; 0: it has not
	first    speed         // how soon it came
	told     bool          // an AnswerCmd was emitted on how it began
}

// watch begins the observation of an attempt that has just been sent.
func (m *Machine) watch(now time.Duration, p *pool, r *requestState, s *server) {
	if p.gate == nil {
		return
	}
	r.observed = observation{
		counts:   !s.cold.active(now) && now-s.listedAt >= settleTime,
		expected: p.expected(r, s),
	}
}

// sawFirst takes in that the first event of an attempt came. How a stream began is
// reported at the next tick, not here: a failure may follow at once, and then it counts
// in place of the good beginning.
func (m *Machine) sawFirst(now time.Duration, p *pool, r *requestState) {
	if p.gate == nil || r.observed.firstAt > 0 {
		return
	}
	p.gate.exposure.reached(r)
	r.currentServer.respondedAt = now
	if r.Kind != Stream {
		return
	}
	r.observed.firstAt = now
	r.observed.first = m.firstSpeed(now, p, r, r.currentServer)
	m.startedRequests = append(m.startedRequests, r)
}

// tellBegun reports how those streams began whose first events came since the last tick.
func (m *Machine) tellBegun(now time.Duration) {
	for i, r := range m.startedRequests {
		if r.currentServer != nil && r.observed.firstAt > 0 && !r.observed.told {
			m.tellSpeed(now, m.pool(r.Service), r, r.currentServer, false, r.observed.first)
		}
		m.startedRequests[i] = nil
	}
	m.startedRequests = m.startedRequests[:0]
}

// sawEnd takes in how an attempt ended.
func (m *Machine) sawEnd(p *pool, msg AttemptEndMsg, r *requestState, s *server) {
	if p.gate == nil {
		return
	}
	seen := &r.observed
	switch {
	case msg.Outcome == Failed:
		m.tellFailure(msg.Now, p, r, s)
	case msg.Outcome == Hung:
		if !msg.RouterLate && seen.firstAt == 0 && s.answeredOthers(r.sentAt, msg.Now) {
			m.tell(msg.Now, r, s, false, true)
		}
	case msg.Outcome != Done:
		// Such an end is not evidence, but how the stream began is.
		if seen.firstAt > 0 && !seen.told {
			m.tellSpeed(msg.Now, p, r, s, false, seen.first)
		}
	case seen.told:
		m.tellSpeed(msg.Now, p, r, s, true, m.tokenSpeed(msg.Now, p, r, s))
	case seen.firstAt > 0:
		m.tellSpeed(msg.Now, p, r, s, false, seen.first)
	default:
		m.tellSpeed(msg.Now, p, r, s, false, m.firstSpeed(msg.Now, p, r, s))
	}
	if msg.Outcome == Done || msg.Outcome == Failed {
		s.respondedAt = msg.Now
	}
}

// answeredOthers tells whether a server has answered other requests in the second half of
// the time that one request waited for it. A server that answers nobody has stopped, which
// is not evidence on its version.
func (s *server) answeredOthers(since, now time.Duration) bool {
	return s.respondedAt > since+(now-since)/2
}

// tellSpeed emits an answer that did not fail; one of the target that can't be compared waits
// for a failure.
func (m *Machine) tellSpeed(now time.Duration, p *pool, r *requestState, s *server, later bool, is speed) {
	if s.target && is == unknownSpeed && r.observed.counts {
		r.observed.told = true
		p.gate.unrated.add(unratedKey{r.Route, s.cohort, later})
		return
	}
	m.tell(now, r, s, later, is == slowSpeed)
}

// tellFailure emits a failure, and before it the answers that it is to be weighed with.
func (m *Machine) tellFailure(now time.Duration, p *pool, r *requestState, s *server) {
	later := r.observed.told
	if s.target && r.observed.counts {
		for _, of := range []bool{false, true} {
			for range p.gate.unrated.take(unratedKey{r.Route, s.cohort, of}) {
				m.tell(now, r, s, of, false)
			}
		}
	}
	m.tell(now, r, s, later, true)
}

// tell emits one answer as evidence on the version of its server.
func (m *Machine) tell(now time.Duration, r *requestState, s *server, later, bad bool) {
	g := m.pool(r.Service).gate
	r.observed.told = true
	if g.Target == "" || !r.observed.counts || (!s.target && !g.Uses(s.Version)) {
		return
	}
	m.emit(ResponseCmd{Response: rollout.ResponseMsg{
		Now: now, Service: r.Service, Route: r.Route, Cohort: s.cohort, Target: s.target, AfterStart: later, Bad: bad,
	}})
}

// firstSpeed compares how soon a first event, or a whole answer, came with what is expected
// from the speed of old servers. Answers of old servers then update that speed.
func (m *Machine) firstSpeed(now time.Duration, p *pool, r *requestState, s *server) speed {
	elapsed := inMilliseconds(now - r.sentAt)
	delay := &p.baseline.routes.get(r.Route).delay
	usual := delay.value() * r.observed.expected
	is := compare(delay, elapsed > slowTimes*usual+inMilliseconds(slowFirst))
	if !s.target && r.observed.counts {
		p.learnFirst(r, elapsed)
	}
	return is
}

// compare is the speed of an answer that is slow, or not, beside the average of old servers.
func compare(old *geometric, slow bool) speed {
	switch {
	case !old.known():
		return unknownSpeed
	case slow:
		return slowSpeed
	}
	return usualSpeed
}

// learnFirst updates the baseline by the time, in milliseconds, that an old server took to
// a first event or a whole answer.
func (p *pool) learnFirst(r *requestState, elapsed float64) {
	p.baseline.routes.get(r.Route).delay.add(elapsed/r.observed.expected, fastestFirst/r.observed.expected)
	if p.engine != nil {
		p.baseline.learnRate(r.tokensAhead, elapsed, p.tokenRate)
	}
}

// tokenSpeed compares how long a stream took for its tokens with streams of old servers.
func (m *Machine) tokenSpeed(now time.Duration, p *pool, r *requestState, s *server) speed {
	if r.OutputTokens <= 0 {
		return usualSpeed
	}
	tokens := float64(r.OutputTokens)
	elapsed := inMilliseconds(now - r.observed.firstAt)
	token := &p.baseline.routes.get(r.Route).token
	usual := token.value() * tokens
	is := compare(token, elapsed > slowTimes*usual && elapsed > usual+inMilliseconds(slowStream))
	if !s.target && r.observed.counts {
		token.add(elapsed/tokens, fastestToken)
	}
	return is
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
