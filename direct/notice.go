package direct

import "time"

// Notice is what a server says of itself in an answer, whatever else the answer is. The
// zero value says nothing.
type Notice struct {
	Leaving bool          // it will end, and must get no new requests
	Backoff time.Duration // it turned a request away, and wants nothing from this router for so long
}

// IsZero tells whether the server said nothing of itself.
func (n Notice) IsZero() bool { return n == Notice{} }

// notices are what a server has told this router of itself in its answers. They hold for the
// rest of its life: the list may be older, or come from a source that the server can't reach,
// so no entry overrules them.
type serverNotices struct {
	leaving      bool
	leavingAt    time.Duration // since when it gets no new requests, but as a last resort
	backoffUntil time.Duration // it wants nothing from this router until then
}

// last tells whether there is anything to remember.
func (n serverNotices) active(now time.Duration) bool { return n.leaving || now < n.backoffUntil }

// notice takes in what a server said of itself.
func (m *Machine) applyNotice(msg NoticeMsg) {
	s := m.byServer[msg.Server]
	if s == nil {
		return // a server is known at least as long as a request runs there
	}
	// The backoff comes first: requests that wait may take a server that leaves as a last resort.
	if msg.Notice.Backoff > 0 {
		m.applyBackoff(msg.Now, s, msg.Notice.Backoff)
	}
	if msg.Notice.Leaving && !s.notices.leaving {
		m.applyLeaving(msg.Now, s)
	}
}

// noticeBackoff leaves a server alone for as long as it asked for. What it answers meanwhile to
// requests that were under way does not end that.
func (m *Machine) applyBackoff(now time.Duration, s *server, backoff time.Duration) {
	if !s.inBackoff(now) {
		m.emit(ServerStatusCmd{Server: s.Server, Status: StatusBackoff, Cause: "said so in an answer", For: backoff})
	}
	s.notices.backoffUntil = max(s.notices.backoffUntil, now+backoff)
	m.serveQueue(now, m.pool(s.Service), maxQueued)
}

// backsOff tells whether a server has asked this router to send it nothing yet.
func (s *server) inBackoff(now time.Duration) bool { return now < s.notices.backoffUntil }

// ShouldWithhold tells whether a request that was placed must not be sent any more, since its server
// has said so meanwhile: a router that runs late may have placed many by then.
func (m *Machine) ShouldWithhold(now time.Duration, id RequestID) bool {
	r := m.requests[id]
	if r == nil || r.currentServer == nil {
		return false
	}
	s := r.currentServer
	return s.inBackoff(now) || (s.notices.leaving && s.notices.leavingAt > r.sentAt)
}

// backoffEnds returns how soon one of the servers wants requests again that would get some of
// these regions but for that, and whether there is one.
func (p *pool) shortestBackoff(now time.Duration, regions Regions) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, s := range p.admitted {
		if !s.inBackoff(now) || !s.available() || !regions.Allows(s.region) {
			continue
		}
		if left := s.notices.backoffUntil - now; !found || left < soonest {
			soonest, found = left, true
		}
	}
	return soonest, found
}

// noticeLeaving takes out a server that said that it leaves.
func (m *Machine) applyLeaving(now time.Duration, s *server) {
	known := s.leaving
	s.markLeaving(now)
	s.notices.leaving, s.notices.leavingAt = true, s.leavingAt
	if known {
		return
	}
	m.emit(ServerStatusCmd{Server: s.Server, Status: StatusDraining, Cause: "said so in an answer"})
	p := m.pool(s.Service)
	p.updateEligible()
	m.serveQueue(now, p, maxQueued)
}

// recall gives a server that is listed anew what it said before it was forgotten.
func (m *Machine) restoreNotices(s *server) {
	s.notices = m.oldNotices.take(s.ID)
	if s.notices.leaving {
		s.markLeaving(s.notices.leavingAt)
	}
}
