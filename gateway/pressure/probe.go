package pressure

import (
	"runtime"
	"sync/atomic"
	"time"
)

// Probe measures how long a goroutine of this process waits behind all that are
// runnable: that is how long requests wait. While one such wait lasts, its length
// so far counts, since behind enough others it may last for seconds.
type Probe struct {
	now   func() time.Duration // since the start
	began atomic.Int64         // of the wait under way; 0: none
	last  atomic.Int64         // length of the last whole wait
}

// NewProbe returns a probe on a clock that tells the time since the start.
func NewProbe(now func() time.Duration) *Probe { return &Probe{now: now} }

// Lag returns how long a goroutine waits at the moment, and begins another
// measurement where none is under way.
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

// wait lets all others run once.
func (p *Probe) wait() {
	runtime.Gosched()
	p.last.Store(int64(p.now()) - p.began.Load())
	p.began.Store(0)
}
