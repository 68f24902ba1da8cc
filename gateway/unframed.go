package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/internal/framing"
	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// maxEndCheck bounds the check of the server at the end of an unframed response, which delays the end of the
	// caller's response. A sound server may be silent for a second or so.
	maxEndCheck = 1500 * time.Millisecond
	// maxReplaceableEndCheck bounds it if another server can send the rest of the response, or send it again.
	maxReplaceableEndCheck = 400 * time.Millisecond
	// teardownTime is how long a server that stops may take to close its connections one after the other without a sign
	// of it. With one, the check goes on for as long as it may be closing them, up to maxEndCheck.
	teardownTime = 20 * time.Millisecond
)

// endEvidence is what is known of a server after the end of its unframed response.
type endEvidence int

const (
	endUnchecked endEvidence = iota
	hostRefuses              // its host refuses connections
	noAnswer                 // it has not answered
	anotherStart             // another process answers
	connsClosed              // it answers, and has closed other connections as well
	leaves                   // it answers, and leaves
	startNotTold             // a process of its name answers; whether it is the same start is not known
	sameStart                // the same start answers
	holdsConn                // it answers, and holds a connection that was open before the end
)

// String returns the name of the evidence for logs and metrics.
func (e endEvidence) String() string {
	return [...]string{
		"unchecked", "refused", "no_answer", "other_start", "connections_closed", "leaves", "start_not_told", "same_start", "holds_connection",
	}[e]
}

// isWhole reports whether the server has ended the response, rather than broken off.
func (e endEvidence) isWhole() bool { return e >= startNotTold }

// unframedEnd is the end of an unframed response. The zero value is that of a response that has not ended so.
type unframedEnd struct {
	checked  bool
	evidence endEvidence
	took     time.Duration // of the check
	conn     socket.State  // of the response, at its end
}

// isWhole reports whether there was such an end, and the response is whole.
func (e unframedEnd) isWhole() bool { return e.checked && e.evidence.isWhole() }

// unframedResponse is what an attempt knows of its server if the response is unframed. The zero value is that of
// another response.
type unframedResponse struct {
	witness     *backend.Witness      // nil: the response is not unframed
	yielded     *backend.Holding      // what witness knew when it was given up; nil: it was not
	startBeside atomic.Pointer[int64] // of the server, told while the response ran; nil: it has not
	end         unframedEnd
}

// release ends the use of the witness. It may be called more than once.
func (u *unframedResponse) release() {
	if u.witness != nil {
		u.witness.Release()
		u.witness = nil
	}
}

// yield ends the use of the witness for a server that does not answer at once: the connection beside the response may
// be what holds it.
func (u *unframedResponse) yield(endedAt time.Time) {
	if u.yielded == nil {
		held := u.witness.Yield(endedAt)
		u.yielded = &held
	}
}

// holding returns what the witness knows, or knew when it was given up.
func (u *unframedResponse) holding(endedAt time.Time) backend.Holding {
	if u.yielded != nil {
		return *u.yielded
	}
	return u.witness.HoldingAfter(endedAt)
}

// watchUnframed prepares for the end of a response if it is unframed.
func (a *attempt) watchUnframed(resp *http.Response) {
	if !framing.IsUnframed(resp) || a.unframed.witness != nil {
		return
	}
	a.unframed.witness = a.x.front.pool.Watch(a.conn)
	if _, told := a.conn.ServerStart(); !told && !a.conn.IsReused() && !a.identity.starts.areUnknown() {
		go a.askBeside(a.conn)
	}
}

// askBeside asks the server for its start while a response runs whose connection is new, so that it leads to the
// process which now accepts connections. Its entry may be older than that.
func (a *attempt) askBeside(response *backend.Conn) {
	ctx, cancel := context.WithTimeout(a.ctx, maxEndCheck)
	defer cancel()
	answer := a.x.front.askServer(ctx, a.x.front.pooledConn, &a.cmd.Server)
	if answer.err == nil && answer.told && !response.IsEnding() {
		a.unframed.startBeside.Store(&answer.start)
	}
}

// isOtherStart reports whether a start is not the one that sent the response, as far as that one is known.
func (a *attempt) isOtherStart(millis int64) bool {
	if beside := a.unframed.startBeside.Load(); beside != nil {
		return *beside != millis
	}
	return !a.identity.starts.areUnknown() && !a.identity.starts.include(millis)
}

// checkUnframedEnd returns io.EOF if an unframed response is whole, and else io.ErrUnexpectedEOF: also at
// the deadline, at which servers cease to work.
func (a *attempt) checkUnframedEnd() error {
	end := unframedEnd{checked: true, conn: a.conn.State()}
	if a.timeLeft() >= minTimeLeft {
		start := time.Now()
		a.unframed.witness.EndResponse(start)
		end.evidence = a.findEndEvidence(start)
		end.took = time.Since(start)
		a.unframed.witness.Judged(start, end.isWhole())
	}
	a.unframed.end = end
	a.x.front.stats.UnframedEnd(end.evidence.String(), end.isWhole())
	a.x.front.stats.UnframedConn(end.conn.String(), end.isWhole())
	a.logUnframedEnd()
	if !end.isWhole() {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// findEndEvidence finds out what has become of the process that sent a response which ended at a point in time.
func (a *attempt) findEndEvidence(endedAt time.Time) endEvidence {
	answer, evidence := a.askSender(endedAt)
	if evidence != endUnchecked {
		return evidence
	}
	closing := a.awaitTeardown(endedAt)
	holding := a.unframed.holding(endedAt)
	if closing && (holding == backend.HoldingUnknown || a.unframed.yielded != nil) {
		if answer, evidence = a.askSender(endedAt); evidence != endUnchecked {
			return evidence
		}
	}
	switch {
	case holding == backend.HoldsConns, a.holdsIdleConn():
		return holdsConn
	case holding == backend.ClosedConns, holding == backend.MayHaveClosed && closing:
		return connsClosed
	case a.notice.Leaving, a.x.front.isLeaving(a.cmd.Server.ID):
		return leaves
	case answer.told && !a.identity.starts.areUnknown():
		return sameStart
	}
	return startNotTold
}

// askSender is askAfterEnd, and also returns evidence if another start has answered.
func (a *attempt) askSender(endedAt time.Time) (endAnswer, endEvidence) {
	answer, evidence := a.askAfterEnd(endedAt)
	if evidence != endUnchecked {
		return endAnswer{}, evidence
	}
	a.applyNotice(answer.info)
	if answer.told && a.isOtherStart(answer.start) {
		return endAnswer{}, anotherStart
	}
	return answer, endUnchecked
}

// awaitTeardown waits until a server that stops would have closed all its connections, or has shown that it does. It
// reports whether there was a sign of that.
func (a *attempt) awaitTeardown(endedAt time.Time) (closing bool) {
	limit := endedAt.Add(min(maxEndCheck, a.timeLeft()-minTimeLeft))
	until := endedAt.Add(teardownTime)
	for {
		select {
		case <-time.After(min(time.Until(until), teardownTime)):
		case <-a.ctx.Done():
			return closing
		}
		if a.unframed.holding(endedAt) == backend.ClosedConns && !a.holdsIdleConn() {
			return closing
		}
		until = a.unframed.witness.ClosingUntil(endedAt)
		closing = closing || until.After(endedAt)
		if now := time.Now(); !now.Before(until) || !now.Before(limit) {
			return closing
		}
	}
}

// holdsIdleConn reports whether the server holds an idle connection that was open before the request was sent.
func (a *attempt) holdsIdleConn() bool {
	return a.x.front.pool.HoldsSince(a.cmd.Server.Address, a.sentAt)
}

// endCheckLimit returns how long the check at the end of an unframed response may take.
func (a *attempt) endCheckLimit() time.Duration {
	limit := maxEndCheck
	if a.x.route.MayRepeat() && a.x.canContinue() {
		limit = maxReplaceableEndCheck
	}
	return min(limit, a.timeLeft())
}

// isLeaving reports whether a server is listed as draining, or not at all any more.
func (f *front) isLeaving(id string) bool {
	for _, s := range f.feeds.Servers.Newest().Servers {
		if s.ID == id {
			return s.Draining
		}
	}
	return true
}
