package pressure

import (
	"runtime"
	"sync/atomic"
	"time"
)

// Probe measures how long a goroutine of this process waits behind all other runnable goroutines,
// which is how long requests wait. A wait that has not ended counts by its length so far, since it
// may take seconds.
type Probe struct {
	now   func() time.Duration // since the process started
	began atomic.Int64         // start of the current wait; 0: none
	last  atomic.Int64         // length of the last completed wait
}

// NewProbe returns a probe whose clock returns the time since the process started.
func NewProbe(now func() time.Duration) *Probe { return &Probe{now: now} }

// Lag returns how long a goroutine currently waits, and starts a measurement if none is in
// progress.
func (p *Probe) Lag() time.Duration {
	now := p.now()
	began := time.Duration(p.began.Load())
	if began > 0 {
		return max(now-began, time.Duration(p.last.Load()))
	}
	p.began.Store(int64(max(now, 1)))
	go p.wait()
	return time.Duration(p.last.Load())
}

// wait yields to all other runnable goroutines once and records the wait.
func (p *Probe) wait() {
	runtime.Gosched()
	p.last.Store(int64(p.now()) - p.began.Load())
	p.began.Store(0)
}
