package direct

import "time"

// ColdLimit is the request rate that a server can take while it is cold: for some time after
// its start, and whenever its entry marks it as cold. The zero value is no limit.
type ColdLimit struct {
	PerSecond float64       // requests per second to one server from all routers together
	Lasts     time.Duration // how long a server stays cold after its start
}

// coldStartDelay is the time after its start during which a router sends nothing to cold
// servers. The router does not know all other routers yet, and requests that it sent before a
// restart still count. The rate is measured per second, and heartbeats make all other routers
// known within about two seconds.
const coldStartDelay = 2 * time.Second

// coldState is the cold period of a server. The zero value is a warm server.
type coldState struct {
	until time.Duration
	// nextSend is the earliest time of this router's next request to the server.
	nextSend time.Duration
}

// active reports whether the server is cold at the given time.
func (c *coldState) active(now time.Duration) bool { return now < c.until }

// coldPacing splits the rate of cold servers evenly between routers. It counts all routers that
// may be running, so that a network partition between routers can't raise their total above the
// limit.
type coldPacing struct {
	routers int // all that may be running
	rank    int // of this router among them, from 0
}

// maxColdInterval bounds times that follow from a rate, which may be any above 0.
const maxColdInterval = 24 * time.Hour

// timeFor returns the time in which a server accepts n requests at the limit's rate.
func (l ColdLimit) timeFor(n int) time.Duration {
	return time.Duration(min(float64(n)/l.PerSecond*float64(time.Second), float64(maxColdInterval)))
}

// interval returns the time between two requests of this router to one server.
func (c coldPacing) interval(limit ColdLimit) time.Duration {
	return limit.timeFor(max(c.routers, 1))
}

// firstDelay returns how long this router waits before its first request to a server that has
// turned cold. All routers learn of it at about the same time, so they start one after another,
// in an order that differs between servers.
func (c coldPacing) firstDelay(limit ColdLimit, key uint32) time.Duration {
	routers := max(c.routers, 1)
	turn := (c.rank + int(key%uint32(routers))) % routers
	return limit.timeFor(turn)
}

// markCold extends a server's cold period by the given duration. The period never gets shorter:
// a list that replaces another may in fact be older.
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

// coldSendAllowed reports whether the cold limit of a server allows this router a request now.
func (m *Machine) coldSendAllowed(now time.Duration, p *pool, s *server) bool {
	if p.cold.PerSecond <= 0 || !s.cold.active(now) {
		return true
	}
	return now >= coldStartDelay && now >= s.cold.nextSend
}

// recordColdSend schedules this router's next request to a cold server after it has sent one.
func (m *Machine) recordColdSend(now time.Duration, p *pool, s *server) {
	if p.cold.PerSecond > 0 && s.cold.active(now) {
		s.cold.nextSend = now + m.pacing.interval(p.cold)
	}
}
