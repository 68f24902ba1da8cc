package backend

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// sentinelLinger is how long a sentinel stays open after its last use.
	sentinelLinger = 2 * time.Second
	// recentBreak is the largest age of the end of a sentinel that still says something about another connection.
	recentBreak = 500 * time.Millisecond
)

// Witness tells whether a server still holds a connection that was open while a response was running.
type Witness struct {
	sentinel *sentinel
	response *Conn
	span     uint64 // of the sentinel while the response was running; 0: none was open
}

// Holding is what a Witness knows of a server.
type Holding int

const (
	HoldingUnknown Holding = iota // no other connection was open while the response was running
	HoldsConns                    // the server still holds one
	ClosedConns                   // the server has just closed it
	MayHaveClosed                 // the same, or its idle timeout has passed while this process was late
)

// Watch returns a witness for the response that is being read on a connection. Release ends it.
func (p *Pool) Watch(response *Conn) *Witness {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sentinels[response.address]
	if s == nil {
		ctx, cancel := context.WithCancel(context.Background())
		s = &sentinel{pool: p, address: response.address, cancel: cancel, witnesses: make(map[*Witness]bool)}
		p.sentinels[response.address] = s
		go s.run(ctx)
	}
	if s.linger != nil {
		s.linger.Stop()
	}
	w := &Witness{sentinel: s, response: response}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.witnesses[w] = true
	s.assign(w)
	return w
}

// HoldingAfter returns what is known of the server now, after its response ended at a point in time.
func (w *Witness) HoldingAfter(endedAt time.Time) Holding {
	s := w.sentinel
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case w.span == 0:
		return HoldingUnknown
	case s.conn != nil && w.span == s.span && socket.Peek(s.conn.Conn) == socket.Idle:
		if endedAt.Sub(s.spanAt) < sentinelPause {
			return HoldingUnknown // the server may have been closing its connections as this one was opened
		}
		return HoldsConns
	case s.conn != nil && w.span == s.span && !s.mayBeIdleTimeout(), s.brokenAt.After(endedAt.Add(-recentBreak)):
		return ClosedConns
	case s.conn != nil && w.span == s.span, s.doubtAt.After(endedAt.Add(-recentBreak)):
		return MayHaveClosed
	}
	return HoldingUnknown
}

// EndResponse records that the response has ended. Judged has to follow.
func (w *Witness) EndResponse(endedAt time.Time) {
	if !w.isQuietEnd() {
		return
	}
	p := w.sentinel.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.teardownOf(w.response.address).add(teardownSign{at: endedAt, openedAt: w.response.openedAt, quiet: true})
}

// isQuietEnd reports whether nothing has come for some time before the end of the response.
func (w *Witness) isQuietEnd() bool { return w.response.head.endWait >= minQuietEnd }

// Judged records whether the response that has ended at a point in time was taken for whole.
func (w *Witness) Judged(endedAt time.Time, whole bool) {
	p := w.sentinel.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.teardownOf(w.response.address).judged(endedAt, time.Now(), w.isQuietEnd(), whole)
}

// ClosingUntil returns until when the server may go on closing its connections, so that what HoldingAfter returns before
// proves nothing. It is in the past if there is no sign of that.
func (w *Witness) ClosingUntil(endedAt time.Time) time.Time {
	p := w.sentinel.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	signs, now := p.teardownOf(w.response.address), time.Now()
	until := w.sentinel.lastBreak().Add(firstTeardownGap)
	if until.After(now) || signs.closingUntil(endedAt).After(now) {
		// Without another sign, an idle timeout explains their ends.
		for _, ended := range p.dropEnded(w.response.address) {
			signs.add(teardownSign{at: now, openedAt: ended.openedAt})
		}
	}
	if next := signs.closingUntil(endedAt); next.After(until) {
		return next
	}
	return until
}

// Yield returns what HoldingAfter does. If no other response needs the sentinel, it ends it: a server that serves one
// connection at a time would serve no other.
func (w *Witness) Yield(endedAt time.Time) Holding {
	holding := w.HoldingAfter(endedAt)
	s := w.sentinel
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.witnesses) == 1 && s.witnesses[w] {
		s.end()
	}
	return holding
}

// Release ends the use of the witness.
func (w *Witness) Release() {
	s := w.sentinel
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.witnesses, w)
	switch {
	case len(s.witnesses) > 0:
	case s.linger == nil:
		s.linger = time.AfterFunc(sentinelLinger, s.close)
	default:
		s.linger.Reset(sentinelLinger)
	}
}
