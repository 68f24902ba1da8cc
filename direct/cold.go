package direct

import "time"

// ColdLimit says how many requests a second a server bears while it is cold: for some
// time after its start, and whenever its entry says so. The zero value is no limit.
type ColdLimit struct {
	PerSecond float64       // requests that all routers together may send to one server
	Lasts     time.Duration // how long a server is cold after its start
}

// coldStartDelay is how long a router leaves cold servers to others after its start: it has
// not heard of all routers yet, and what it sent to a server in an earlier life still
// counts. The rate is counted by the second, and heartbeats name all others within
// about two.
const coldStartDelay = 2 * time.Second

// coldState is what a router knows of a server's being cold. Its zero value is a
// server that is not.
type coldState struct {
	until time.Duration
	// nextSend is when this router may send the next request.
	nextSend time.Duration
}

// active tells whether the server is cold at a time.
func (c *coldState) active(now time.Duration) bool { return now < c.until }

// coldPacing divides the rate of cold servers between routers. Each has an even part,
// by the number of all routers that may be there, so that no cut between routers lets
// them send more together than one server bears.
type coldPacing struct {
	routers int // all that may be there
	rank    int // of this router among them
}

// interval is the time between two requests of this router to one server.
func (c coldPacing) interval(limit ColdLimit) time.Duration {
	return time.Duration(float64(max(c.routers, 1)) / limit.PerSecond * float64(time.Second))
}

// firstDelay is how long after a server turned cold this router may send it the first
// request. Routers begin one after the other, each server with another one, since all
// hear of it at about the same time.
func (c coldPacing) firstDelay(limit ColdLimit, key uint32) time.Duration {
	routers := max(c.routers, 1)
	turn := (c.rank + int(key%uint32(routers))) % routers
	return time.Duration(float64(turn) / limit.PerSecond * float64(time.Second))
}

// markCold takes in that a server is cold for some time more. It is never taken for
// warm sooner than it once said: a list may be older than what it replaces seems.
func (m *Machine) markCold(now time.Duration, s *server, lasts time.Duration, cause string) {
	if lasts <= 0 {
		return
	}
	if !s.cold.active(now) {
		if limit := m.pool(s.Service).cold; limit.PerSecond > 0 {
			s.cold.nextSend = max(s.cold.nextSend, now+m.pacing.firstDelay(limit, s.loadKey))
		}
		m.emit(ServerStatusCmd{Server: s.Server, Status: StatusCold, Cause: cause, For: lasts})
	}
	s.cold.until = max(s.cold.until, now+lasts)
}

// coldSendAllowed tells whether this router may send a request to a server as far as its being
// cold goes.
func (m *Machine) coldSendAllowed(now time.Duration, p *pool, s *server) bool {
	if p.cold.PerSecond <= 0 || !s.cold.active(now) {
		return true
	}
	return now >= coldStartDelay && now >= s.cold.nextSend
}

// recordColdSend counts a request that was sent to a server.
func (m *Machine) recordColdSend(now time.Duration, p *pool, s *server) {
	if p.cold.PerSecond > 0 && s.cold.active(now) {
		s.cold.nextSend = now + m.pacing.interval(p.cold)
	}
}
