package pressure

import (
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// Stalls adds up for how long this process has not run when it should have, by its ticks. The zero value is
// ready to use: no time counts before the first tick.
type Stalls struct {
	mu       sync.Mutex
	ticking  bool
	lastTick time.Duration
	total    time.Duration
}

// Tick records a tick.
func (s *Stalls) Tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += s.overdue(now)
	s.ticking, s.lastTick = true, now
}

// Total returns how long all stalls have lasted, including one that the next tick has yet to show.
func (s *Stalls) Total(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total + s.overdue(now)
}

// overdue returns how late the next tick is. s.mu is held.
func (s *Stalls) overdue(now time.Duration) time.Duration {
	if !s.ticking {
		return 0
	}
	return max(now-s.lastTick-direct.TickInterval, 0)
}
