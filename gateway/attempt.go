package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/internal/socket"
)

const (
	// A stream that may continue on another server does so after a pause of minStreamStall,
	// or of streamStallPauseFactor times the route's longest pause if that is longer.
	minStreamStall         = 800 * time.Millisecond
	streamStallPauseFactor = 4
	// stallObjectiveFactor times the objective is the time after which a repeatable request
	// without a response is tried on another server. Streams use streamStallObjectiveFactor.
	stallObjectiveFactor       = 0.6
	streamStallObjectiveFactor = 3.0
	// stallEstimateFactor is the shortest stall timeout, as a multiple of the estimated time
	// to the first event.
	stallEstimateFactor = 3
	// minTimeLeft is the shortest remaining time for which a request is still sent.
	minTimeLeft = 2 * time.Millisecond
)

// errTooLarge is returned for a body or a stream event that exceeds its size limit.
var errTooLarge = errors.New("the body or event exceeds its size limit")

// attempt is one try of a request on one server.
type attempt struct {
	x         *exchange
	cmd       direct.SendCmd
	conn      *backend.Conn
	stopWatch func() bool // stops watching whether the caller leaves
	// forwarding is set once the first event of a stream has been forwarded.
	forwarding bool
	path       traffic.Path
	// canContinue reports whether another server could continue the stream, as of
	// continuationCheckedAt.
	canContinue           bool
	continuationCheckedAt time.Duration
	connRefused           bool // the server's host refused the connection
	dialOverdue           bool // this process ran too late to connect
	unframed              bool // the response ended with its connection
	// unreadWhenHung reports that the attempt ended as Hung while bytes of the server waited to
	// be read: this process was late, not the server.
	unreadWhenHung bool
}

// countBytes counts bytes sent to the server or received from it.
func (a *attempt) countBytes(n int) { a.x.front.traffic.Add(a.path, n) }

// run sends the request and forwards the response. It returns the outcome of the attempt
// and whether the caller's request has ended.
func (a *attempt) run() (direct.Outcome, bool) {
	// Time for which the host was suspended counts towards the caller's deadline.
	a.x.front.core.checkSuspension()
	timeLeft := a.x.deadline - a.x.front.core.Now()
	if timeLeft < minTimeLeft {
		a.endExpired(direct.GivenUp)
		return direct.GivenUp, true
	}
	conn, err := a.x.front.pool.Get(a.x.ctx, a.cmd.Server.Address)
	if err != nil {
		a.connRefused = errors.Is(err, syscall.ECONNREFUSED)
		a.dialOverdue = errors.Is(err, backend.ErrRouterLate)
		return a.endWithoutResponse(direct.Unsent)
	}
	if !a.x.front.core.beginAttempt(a.x.id, func() { conn.Close() }) {
		conn.Close()
		return a.endWithoutResponse(direct.Withheld)
	}
	defer a.x.front.core.endAttempt(a.x.id)
	a.conn = conn
	a.stopWatch = context.AfterFunc(a.x.ctx, func() { conn.Close() })
	defer a.stopWatch()
	timeLeft = a.x.deadline - a.x.front.core.Now()
	_ = conn.SetDeadline(time.Now().Add(timeLeft)) // here and below: it fails on a closed connection, whose next use returns the error
	a.path = a.x.front.pathTo(a.cmd)
	a.countBytes(len(a.x.body))
	err = conn.Send(&backend.Request{
		Method: a.x.r.Method,
		Target: a.x.r.RequestURI,
		Host:   a.x.r.Host,
		Header: a.x.front.dialect.OutboundHeader(a.x.r.Header, a.callInfo(timeLeft)),
		Body:   a.x.body,
	})
	if err != nil {
		conn.Close()
		if errors.Is(err, backend.ErrUnsent) {
			return a.endWithoutResponse(direct.Unsent)
		}
		return a.endWithoutResponse(direct.Broken)
	}
	return a.receive(timeLeft)
}

// callInfo returns what is sent to the server along with the request.
func (a *attempt) callInfo(timeLeft time.Duration) CallInfo {
	info := CallInfo{TimeLeft: timeLeft, Server: a.cmd.Server.Name(), Team: a.x.team, AfterEvent: a.x.info.AfterEvent}
	if a.x.headSent {
		info.AfterEvent = formatID(a.x.lastEventID)
	}
	return info
}

// receive reads the header of the response and passes the response to the reader of its
// body.
func (a *attempt) receive(timeLeft time.Duration) (direct.Outcome, bool) {
	timeout, bounded := a.stallTimeout(timeLeft)
	if bounded {
		_ = a.conn.SetReadDeadline(time.Now().Add(timeout))
	}
	resp, err := a.conn.ReadResponse(a.x.r.Method, func(h *http.Response) bool {
		info := a.x.front.dialect.ParseResponse(h.StatusCode, h.Header)
		a.applyNotice(info)
		return info.RequestID == a.x.info.ID
	})
	if err != nil {
		outcome := a.readOutcome(err, bounded)
		a.conn.Close()
		return a.endWithoutResponse(outcome)
	}
	info := a.x.front.dialect.ParseResponse(resp.StatusCode, resp.Header)
	switch {
	case info.WrongServer:
		a.discard(resp)
		return direct.Elsewhere, false
	case info.NotRun && resp.StatusCode != http.StatusBadRequest:
		a.discard(resp)
		return direct.NotRun, false
	case a.isStream(resp):
		return a.stream(resp, info)
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(a.x.deadline - a.x.front.core.Now()))
	return a.bufferResponse(resp, info)
}

// applyNotice processes the server's notice in a response header, including that of a late
// response to an earlier request.
func (a *attempt) applyNotice(info ResponseInfo) {
	if info.WrongServer {
		return // the response comes from another server
	}
	if info.NoticeErr != nil {
		a.x.front.log.UnreadableNotice(a.cmd.Server, info.NoticeErr)
	}
	if info.Notice.IsZero() {
		return
	}
	a.x.notice = info.Notice
	a.x.front.stats.ServerNotice(info.Notice)
	a.x.front.core.Update(direct.NoticeMsg{Now: a.x.front.core.Now(), Server: a.cmd.Server.ID, Notice: info.Notice})
}

// stallTimeout returns how long the server may stay silent before the request is tried on
// another server, and whether that limit applies.
func (a *attempt) stallTimeout(timeLeft time.Duration) (time.Duration, bool) {
	route := a.x.route
	if !a.mayRetry() || !a.x.front.core.disabled.Enabled(direct.StallTimeout) {
		return 0, false
	}
	factor := stallObjectiveFactor
	if route.Kind == direct.Stream {
		factor = streamStallObjectiveFactor
	}
	timeout := max(time.Duration(factor*float64(route.Objective)), stallEstimateFactor*a.cmd.PlacementBasis.Estimate)
	return timeout, timeout < timeLeft
}

// readOutcome returns Hung if the server sent nothing before the stall timeout, and Broken
// if its connection failed.
func (a *attempt) readOutcome(err error, bounded bool) direct.Outcome {
	if bounded && errors.Is(err, os.ErrDeadlineExceeded) {
		a.unreadWhenHung = socket.Peek(a.conn.Conn) == socket.Readable
		return direct.Hung
	}
	return direct.Broken
}

// endWithoutResponse ends an attempt without a usable response. It also ends the request if
// its caller has left or its deadline has passed.
func (a *attempt) endWithoutResponse(o direct.Outcome) (direct.Outcome, bool) {
	switch {
	case a.x.ctx.Err() != nil:
		a.x.callerLeft(0)
		return direct.GivenUp, true
	case a.x.front.core.Now()+minTimeLeft >= a.x.deadline:
		if o != direct.Unsent && o != direct.Withheld {
			o = direct.GivenUp
		}
		a.endExpired(o)
		return o, true
	}
	return o, false
}

// endExpired ends a request whose deadline has passed. It may panic to abort a stream, so
// it reports the outcome to the machine first.
func (a *attempt) endExpired(o direct.Outcome) {
	if a.x.headSent {
		a.reportEnd(o)
	}
	a.x.timedOut()
}

// reportEnd reports the outcome of the attempt to the machine, before a panic.
func (a *attempt) reportEnd(o direct.Outcome) {
	a.x.front.core.Update(direct.AttemptEndMsg{Now: a.x.front.core.Now(), ID: a.x.id, Outcome: o})
}

// discard drops a response of which only the header matters.
func (a *attempt) discard(resp *http.Response) {
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes)); err != nil || n == maxDiscardBytes {
		a.conn.Close()
		return
	}
	a.release()
}

// release returns the connection to the pool. It closes the connection instead if the
// caller has left, since stopWatch then came too late: the watch may close the connection
// at any time.
func (a *attempt) release() {
	a.x.front.core.endAttempt(a.x.id) // a late abort must not close a connection of the pool
	if !a.stopWatch() {
		a.conn.Close()
		return
	}
	a.conn.Release()
}

// maxDiscardBytes bounds a body that is read only to reuse its connection.
const maxDiscardBytes = 64 << 10
