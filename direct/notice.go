package direct

import "time"

// Notice holds what a server announces about itself in a response of any kind. The zero value
// announces nothing.
type Notice struct {
	Leaving bool          // it is about to stop and must get no new requests
	Backoff time.Duration // it turned a request away; this router must send it nothing for this long
}

// IsZero reports whether the server announced nothing.
func (n Notice) IsZero() bool { return n == Notice{} }

// serverNotices holds what a server has announced to this router in its responses. It is valid
// for the rest of the server's lifetime. No entry overrules it, since the list may be older or
// come from a source that the server can't reach.
type serverNotices struct {
	leaving      bool
	leavingAt    time.Duration // since when it gets new requests only as a last resort
	backoffUntil time.Duration // it must be sent nothing until then
}

// active reports whether any notice still applies.
func (n serverNotices) active(now time.Duration) bool { return n.leaving || now < n.backoffUntil }

// applyNotice applies a server's notice.
func (m *Machine) applyNotice(msg NoticeMsg) {
	s := m.byServer[msg.Server]
	if s == nil {
		return // a server stays known at least as long as a request runs there
	}
	// Apply the backoff first: otherwise queued requests could use the leaving server as a last
	// resort.
	if msg.Notice.Backoff > 0 {
		m.applyBackoff(msg.Now, s, msg.Notice.Backoff)
	}
	if msg.Notice.Leaving && !s.notices.leaving {
		m.applyLeaving(msg.Now, s)
	}
	if msg.OfNextStart {
		m.forgottenNotices.put(msg.Now, s.Name(), s.notices)
	}
}

// applyBackoff stops sending to a server for the time that it asked for. Responses to requests
// that are already running don't end the backoff.
func (m *Machine) applyBackoff(now time.Duration, s *server, backoff time.Duration) {
	if !s.inBackoff(now) {
		m.emit(ServerStatusCmd{Server: s.Server, Status: StatusBackoff, Cause: "said so in an answer", For: backoff})
	}
	s.notices.backoffUntil = max(s.notices.backoffUntil, now+backoff)
	m.serveQueue(now, m.pool(s.Service), maxQueued)
}

// inBackoff reports whether a server has asked this router to send nothing for now.
func (s *server) inBackoff(now time.Duration) bool { return now < s.notices.backoffUntil }

// ShouldWithhold reports whether a placed request must not be sent any more because a part of its
// prompt was barred, because its server has since announced a backoff or that it is leaving, or because the
// server may run another version than the request needs. A router that runs late may have placed many
// requests by then.
func (m *Machine) ShouldWithhold(now time.Duration, id RequestID) bool {
	r := m.requests[id]
	if r == nil || r.currentServer == nil {
		return false
	}
	s := r.currentServer
	return r.aborted || r.startsElsewhere() || s.inBackoff(now) || (s.notices.leaving && s.notices.leavingAt > r.sentAt)
}

// shortestBackoff returns the shortest remaining backoff of the servers that would otherwise
// get a request, and whether there is one.
func (p *pool) shortestBackoff(now time.Duration, r *Request) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, s := range p.serversFor(r) {
		if !s.inBackoff(now) || !s.available() || !r.allows(s) {
			continue
		}
		if left := s.notices.backoffUntil - now; !found || left < shortest {
			shortest, found = left, true
		}
	}
	return shortest, found
}

// applyLeaving stops sending to a server that announced that it is leaving.
func (m *Machine) applyLeaving(now time.Duration, s *server) {
	known := s.leaving
	s.markLeaving(now)
	s.notices.leaving, s.notices.leavingAt = true, s.leavingAt
	if known {
		return
	}
	m.emit(ServerStatusCmd{Server: s.Server, Status: StatusDraining, Cause: "said so in an answer"})
	p := m.pool(s.Service)
	p.updateAdmitted()
	m.serveQueue(now, p, maxQueued)
}

// restoreNotices restores the notices of a server that is listed again after it was forgotten.
func (m *Machine) restoreNotices(s *server) {
	s.notices = m.forgottenNotices.take(s.ID)
	if s.notices == (serverNotices{}) {
		s.notices = m.forgottenNotices.take(s.Name())
	}
	if s.notices.leaving {
		s.markLeaving(s.notices.leavingAt)
	}
}
