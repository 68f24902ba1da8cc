package direct

import (
	"time"

	"github.com/croftvale/croftvale/rollout"
)

const (
	// slowTimes is how many times as long as at old servers an answer takes that counts
	// as bad: below what callers notice of a bad version, several times, and above what
	// servers differ by under load.
	slowTimes = 2.5
	// slowFirst and slowStream are what a bad answer takes longer at the least: less is
	// a matter of networks and of chance.
	slowFirst  = 20 * time.Millisecond
	slowStream = 100 * time.Millisecond
	// settleTime is how long after it was listed the answers of a server say nothing:
	// connections are opened and its caches are empty.
	settleTime = time.Second
)

// witness is what one attempt has shown so far of the version of its server.
type witness struct {
	counts   bool          // the server had settled
	expected float64       // milliseconds to the first event
	firstAt  time.Duration // when the first event of a stream came; 0: it has not
	slow     bool          // it came late
	told     bool          // how it began has been told
}

// watch begins to look at an attempt that has just been sent.
func (m *Machine) watch(now time.Duration, p *pool, r *run, s *server) {
	if p.gate == nil {
		return
	}
	r.witness = witness{
		counts:   !s.cold.at(now) && now-s.listedAt >= settleTime,
		expected: p.expected(r, s),
	}
}

// sawFirst takes in that the first event of an attempt came. It is told at the next
// tick: a failure that comes as a whole answer follows at once.
func (m *Machine) sawFirst(now time.Duration, p *pool, r *run) {
	if p.gate == nil || r.witness.firstAt > 0 {
		return
	}
	p.gate.exposure.reached(r)
	r.at.answeredAt = now
	if r.Kind != Stream {
		return
	}
	r.witness.firstAt = now
	r.witness.slow = m.late(now, p, r, r.at)
	m.begun = append(m.begun, r)
}

// tellBegun tells how the streams began whose first events came since the last tick.
func (m *Machine) tellBegun(now time.Duration) {
	for i, r := range m.begun {
		if r.at != nil && r.witness.firstAt > 0 && !r.witness.told {
			m.tell(now, r, r.at, false, r.witness.slow)
		}
		m.begun[i] = nil
	}
	m.begun = m.begun[:0]
}

// sawEnd takes in how an attempt ended.
func (m *Machine) sawEnd(p *pool, msg EndMsg, r *run, s *server) {
	if p.gate == nil {
		return
	}
	w := &r.witness
	switch {
	case msg.Outcome == Failed:
		m.tell(msg.Now, r, s, w.told, true)
	case msg.Outcome == Hung:
		if !msg.Slow && w.firstAt == 0 && s.answeredOthers(r.sentAt, msg.Now) {
			m.tell(msg.Now, r, s, false, true)
		}
	case msg.Outcome != Done:
		// It says nothing of the version, but for how a stream began.
		if w.firstAt > 0 && !w.told {
			m.tell(msg.Now, r, s, false, w.slow)
		}
	case w.told:
		m.tell(msg.Now, r, s, true, m.dragged(msg.Now, p, r, s))
	case w.firstAt > 0:
		m.tell(msg.Now, r, s, false, w.slow)
	default:
		m.tell(msg.Now, r, s, false, m.late(msg.Now, p, r, s))
	}
	if msg.Outcome == Done || msg.Outcome == Failed {
		s.answeredAt = msg.Now
	}
}

// answeredOthers tells whether a server has answered other requests while one waited
// for it, in the later half of its time. A server that says nothing to anyone has
// stopped, which is no matter of its version.
func (s *server) answeredOthers(since, now time.Duration) bool {
	return s.answeredAt > since+(now-since)/2
}

// tell emits what one attempt says of the version of its server.
func (m *Machine) tell(now time.Duration, r *run, s *server, later, bad bool) {
	g := m.pool(r.Service).gate
	r.witness.told = true
	if g.Target == "" || !r.witness.counts || (!s.target && !g.Uses(s.Version)) {
		return
	}
	m.emit(AnswerCmd{Answer: rollout.AnswerMsg{
		Now: now, Service: r.Service, Route: r.Route, Cohort: s.cohort, Target: s.target, Later: later, Bad: bad,
	}})
}

// late tells whether a first event, or a whole answer, came several times later than old
// servers' speed foretells. What comes from an old server is learned from.
func (m *Machine) late(now time.Duration, p *pool, r *run, s *server) bool {
	elapsed := inMilliseconds(now - r.sentAt)
	delay := &p.baseline.route(r.Route).delay
	usual := delay.value() * r.witness.expected
	late := delay.known() && elapsed > slowTimes*usual+inMilliseconds(slowFirst)
	if !s.target && r.witness.counts {
		delay.add(elapsed/r.witness.expected, fastestFirst/r.witness.expected)
		if p.engine != nil {
			p.baseline.learnRate(r.ahead, elapsed, p.tokenRate)
		}
	}
	return late
}

// dragged tells whether a stream took several times as long for its tokens as those of
// old servers.
func (m *Machine) dragged(now time.Duration, p *pool, r *run, s *server) bool {
	if r.OutputTokens <= 0 {
		return false
	}
	tokens := float64(r.OutputTokens)
	elapsed := inMilliseconds(now - r.witness.firstAt)
	token := &p.baseline.route(r.Route).token
	dragged := token.known() && elapsed > slowTimes*token.value()*tokens && elapsed > token.value()*tokens+inMilliseconds(slowStream)
	if !s.target && r.witness.counts {
		token.add(elapsed/tokens, fastestToken)
	}
	return dragged
}

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
