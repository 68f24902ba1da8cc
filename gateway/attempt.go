package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
)

const (
	// streamSilence is the least pause within a stream after which it goes on
	// elsewhere, where it may; pauseSilence the same in longest pauses.
	streamSilence = 800 * time.Millisecond
	pauseSilence  = 4
	// firstPatience is the part of the objective after which a request that may
	// be repeated is tried elsewhere; streams get streamPatience.
	firstPatience  = 0.6
	streamPatience = 3.0
	// estimateTimes is the least patience in expected times to a first event.
	estimateTimes = 3
	// leastLeft is the shortest time that is worth sending a request for.
	leastLeft = 2 * time.Millisecond
)

// errSpoiled says that an answer is not one that a server may give.
var errSpoiled = errors.New("the answer is spoiled")

// attempt is one request to one server.
type attempt struct {
	x    *exchange
	cmd  direct.SendCmd
	conn *backend.Conn
	stop func() bool // ends the watch on the caller
	// begun says that the first event of a stream has been forwarded.
	begun bool
	path  traffic.Path
	// moved says that the attempt was broken off to go on at another version's server.
	moved   atomic.Bool
	movable bool // a move may break it off; see allowMove
	refused bool // the server's host refused a connection
	overdue bool // this process ran too late to connect
}

// count counts bytes that go to the server or come from it.
func (a *attempt) count(n int) { a.x.front.traffic.Add(a.path, n) }

// run sends the request and passes the answer on. It returns how the attempt
// ended and whether the caller's request has ended with it.
func (a *attempt) run() (direct.Outcome, bool) {
	// The caller's time goes on while the host is suspended.
	a.x.front.core.wake()
	left := a.x.deadline - a.x.front.core.Now()
	if left < leastLeft {
		a.endLate(direct.GivenUp)
		return direct.GivenUp, true
	}
	conn, err := a.x.front.pool.Get(a.x.ctx, a.cmd.Server.Address)
	if err != nil {
		a.refused = errors.Is(err, syscall.ECONNREFUSED)
		a.overdue = errors.Is(err, backend.ErrOverdue)
		return a.lost(direct.Unsent)
	}
	if a.x.front.core.withheld(a.x.id) {
		conn.Close()
		return a.lost(direct.Withheld)
	}
	a.conn = conn
	a.stop = context.AfterFunc(a.x.ctx, func() { conn.Close() })
	defer a.stop()
	a.allowMove()
	defer a.forbidMove()
	left = a.x.deadline - a.x.front.core.Now()
	_ = conn.SetDeadline(time.Now().Add(left)) // here and below: a closed connection shows when it is used
	a.path = a.x.front.pathTo(a.cmd)
	a.count(len(a.x.body))
	err = conn.Send(&backend.Request{
		Method: a.x.r.Method,
		Target: a.x.r.RequestURI,
		Host:   a.x.r.Host,
		Header: a.x.front.dialect.Outbound(a.x.r.Header, a.call(left)),
		Body:   a.x.body,
	})
	if err != nil {
		conn.Close()
		if errors.Is(err, backend.ErrUnsent) {
			return a.lost(direct.Unsent)
		}
		return a.lost(direct.Broken)
	}
	return a.receive(left)
}

// call is what the server is told.
func (a *attempt) call(left time.Duration) Call {
	c := Call{Left: left, Server: a.cmd.Server.Name(), Team: a.x.team, AfterEvent: a.x.envelope.AfterEvent}
	if a.x.headSent {
		c.AfterEvent = formatID(a.x.lastID)
	}
	return c
}

// receive reads the head of the answer, and hands over to what reads the rest.
func (a *attempt) receive(left time.Duration) (direct.Outcome, bool) {
	patience, bounded := a.patience(left)
	if bounded {
		_ = a.conn.SetReadDeadline(time.Now().Add(patience))
	}
	answer, err := a.conn.Answer(a.x.r.Method, func(h *http.Response) bool {
		verdict := a.x.front.dialect.Verdict(h.StatusCode, h.Header)
		a.noticed(verdict)
		return verdict.ID == a.x.envelope.ID
	})
	if err != nil {
		a.conn.Close()
		return a.lost(a.silence(err, bounded))
	}
	verdict := a.x.front.dialect.Verdict(answer.StatusCode, answer.Header)
	switch {
	case verdict.Elsewhere:
		a.discard(answer)
		return direct.Elsewhere, false
	case verdict.NotRun && answer.StatusCode != http.StatusBadRequest:
		a.discard(answer)
		return direct.NotRun, false
	case a.isStream(answer):
		return a.stream(answer, verdict)
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(a.x.deadline - a.x.front.core.Now()))
	return a.whole(answer, verdict)
}

// noticed takes in what the server says of itself with an answer, also one that comes late
// and answers an earlier request.
func (a *attempt) noticed(v Verdict) {
	if v.Elsewhere {
		return // it is another server's word
	}
	if v.Unreadable != nil {
		a.x.front.log.UnreadableNotice(a.cmd.Server, v.Unreadable)
	}
	if v.Notice.IsZero() {
		return
	}
	a.x.notice = v.Notice
	a.x.front.stats.ServerNotice(v.Notice)
	a.x.front.core.Update(direct.NoticeMsg{Now: a.x.front.core.Now(), Server: a.cmd.Server.ID, Notice: v.Notice})
}

// patience is how long the server may say nothing, where the request could be
// tried elsewhere.
func (a *attempt) patience(left time.Duration) (time.Duration, bool) {
	route := a.x.route
	if !a.mayGoOn() || !a.x.front.core.without.Enabled(direct.StallTimeout) {
		return 0, false
	}
	part := firstPatience
	if route.Kind == direct.Stream {
		part = streamPatience
	}
	patience := max(time.Duration(part*float64(route.Objective)), estimateTimes*a.cmd.PlacementBasis.Estimate)
	return patience, patience < left
}

// silence tells a server that said nothing in good time from one that broke
// off.
func (a *attempt) silence(err error, bounded bool) direct.Outcome {
	if bounded && errors.Is(err, os.ErrDeadlineExceeded) {
		return direct.Hung
	}
	return direct.Broken
}

// lost ends an attempt without an answer. The request has ended too where the
// caller left or its time is over.
func (a *attempt) lost(o direct.Outcome) (direct.Outcome, bool) {
	if a.moved.Load() && (o == direct.Broken || o == direct.Hung) {
		o = direct.Moved
	}
	switch {
	case a.x.ctx.Err() != nil:
		a.x.callerLeft(0)
		return direct.GivenUp, true
	case a.x.front.core.Now()+leastLeft >= a.x.deadline:
		if o != direct.Unsent && o != direct.Withheld {
			o = direct.GivenUp
		}
		a.endLate(o)
		return o, true
	}
	return o, false
}

// endLate gives the answer of a request whose time is over. It may panic to
// break a stream off, so the machine is told first.
func (a *attempt) endLate(o direct.Outcome) {
	if a.x.headSent {
		a.closeRun(o)
	}
	a.x.timedOut()
}

// closeRun tells the machine that the attempt ended, before a panic.
func (a *attempt) closeRun(o direct.Outcome) {
	a.x.front.core.Update(direct.AttemptEndMsg{Now: a.x.front.core.Now(), ID: a.x.id, Outcome: o})
}

// discard drops an answer of which only the head counts.
func (a *attempt) discard(answer *http.Response) {
	if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, discardMost)); err != nil || n == discardMost {
		a.conn.Close()
		return
	}
	a.release()
}

// release keeps the connection for other requests. Once the caller's leaving
// may close it, it is this request's alone.
func (a *attempt) release() {
	a.forbidMove()
	if !a.stop() {
		a.conn.Close()
		return
	}
	a.conn.Release()
}

// discardMost bounds a body that is read only to keep its connection.
const discardMost = 64 << 10
