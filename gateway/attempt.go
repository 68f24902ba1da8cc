package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
)

// minTimeLeft is the shortest remaining time for which a request is still sent.
const minTimeLeft = 2 * time.Millisecond

// errTooLarge is returned for a body or a stream event that exceeds its size limit.
var errTooLarge = errors.New("the body or event exceeds its size limit")

// attempt is one try of a request on one server.
type attempt struct {
	x         *exchange
	id        direct.RequestID // of the request, or of the backup that this attempt began as
	ctx       context.Context  // ends when the caller leaves, or when a backup is canceled
	cancel    context.CancelFunc
	cmd       direct.SendCmd
	conn      *backend.Conn
	released  bool            // conn is the pool's again
	connEnd   backend.ConnEnd // of conn when it was released
	stopWatch func() bool     // stops watching ctx
	path      traffic.Path
	startedAt time.Duration
	stalled   time.Duration // total of this process's stalls at the start
	// afterEvent is the id of the last event that the caller got from other servers; empty: none.
	afterEvent string
	notice     direct.Notice // sent by the server
	identity   identity
	watch      silenceWatch
	// successor is the backup that has taken over; nil: none has.
	successor *backup

	response   *http.Response
	info       ResponseInfo
	events     *eventReader // nil: the response is not a stream
	forwarding bool         // the first event of the stream has been forwarded

	connRefused bool // the server's host refused the connection
	dialOverdue bool // this process ran too late to connect
	unframed    unframedResponse
	sentAt      time.Time
	// declined is set as soon as the server says that it did not run the request.
	declined atomic.Bool
}

// newAttempt returns an attempt at the server that the machine has chosen. cancel ends ctx.
func newAttempt(ctx context.Context, cancel context.CancelFunc, x *exchange, cmd direct.SendCmd) *attempt {
	a := &attempt{x: x, id: cmd.ID, ctx: ctx, cancel: cancel, cmd: cmd, afterEvent: x.info.AfterEvent}
	if x.headSent {
		a.afterEvent = x.position.afterEvent()
	}
	a.watch.primary, a.startedAt = a, x.front.core.Now()
	a.stalled = x.front.core.stalls.Total(a.startedAt)
	return a
}

// countBytes counts bytes sent to the server or received from it.
func (a *attempt) countBytes(n int) { a.x.front.traffic.Add(a.path, n) }

// run sends the request and forwards the response. It returns the outcome of the attempt
// and whether the caller's request has ended. If successor is set, another attempt has taken over
// and neither is valid.
func (a *attempt) run() (direct.Outcome, bool) {
	// Time for which the host was suspended counts towards the caller's deadline.
	a.x.front.core.checkSuspension()
	if a.timeLeft() < minTimeLeft {
		a.endExpired(direct.GivenUp)
		return direct.GivenUp, true
	}
	if !a.x.headSent && a.x.front.stopping.isTooLate(a.startedAt, a.x) {
		return a.endStopped(direct.Withheld)
	}
	a.watch.enable()
	return a.proceed(a.start())
}

// start sends the request and reads the beginning of the response. It changes nothing of the exchange, so that a
// backup can run beside the attempt that it backs up.
func (a *attempt) start() startResult {
	if outcome, sent := a.send(); !sent {
		return failedStart(outcome)
	}
	return a.awaitResponse()
}

// proceed forwards a response that has begun, or ends an attempt without one.
func (a *attempt) proceed(begun startResult) (direct.Outcome, bool) {
	switch {
	case a.successor != nil:
		return direct.Hung, false
	case !begun.begun:
		return a.endWithoutResponse(begun.outcome)
	case a.events != nil:
		return a.stream(begun.event, begun.err)
	}
	_ = a.conn.SetReadDeadline(time.Now().Add(a.timeLeft()))
	return a.bufferResponse(a.response, a.info)
}

// timeLeft returns the time until the request's deadline.
func (a *attempt) timeLeft() time.Duration { return a.x.deadline - a.x.front.core.Now() }

// hasEnded reports whether the attempt has ended by no fault of its server: the caller has left, the
// attempt was canceled, or the request's deadline has passed.
func (a *attempt) hasEnded() bool { return a.ctx.Err() != nil || a.timeLeft() < minTimeLeft }

// send sends the request. If it fails, it returns the outcome of the attempt and false.
func (a *attempt) send() (direct.Outcome, bool) {
	if outcome, connected := a.connect(); !connected {
		return outcome, false
	}
	conn := a.conn
	if !a.holdOrigin() || !a.x.front.core.beginAttempt(a.id, func() { conn.Close() }) {
		if a.handOver(direct.Withheld) {
			return direct.Hung, false
		}
		conn.Close()
		return direct.Withheld, false
	}
	timeLeft := a.timeLeft()
	a.path = a.x.front.pathTo(a.cmd)
	a.identity.starts = a.startsSoFar()
	a.countBytes(len(a.x.body))
	a.watch.arm(a.firstEventTimeout())
	a.watch.beginSend()
	a.sentAt = time.Now()
	err := conn.Send(&backend.Request{
		Method: a.x.r.Method,
		Target: a.x.r.RequestURI,
		Host:   a.x.r.Host,
		Header: a.x.front.dialect.OutboundHeader(a.x.r.Header, a.callInfo(timeLeft)),
		Body:   a.x.body,
	})
	a.watch.endSend()
	switch {
	case err == nil:
		return 0, true
	case a.takenOver(err):
		return direct.Hung, false
	}
	conn.Close()
	if errors.Is(err, backend.ErrUnsent) {
		return direct.Unsent, false
	}
	return direct.Broken, false
}

// connect opens a connection to the server, or takes one from the pool, and finds out to which start of the
// server it leads if that matters. If it fails, it returns the outcome of the attempt and false.
func (a *attempt) connect() (direct.Outcome, bool) {
	for {
		conn, err := a.getConn()
		if err != nil {
			a.connRefused = errors.Is(err, syscall.ECONNREFUSED)
			a.dialOverdue = errors.Is(err, backend.ErrRouterLate)
			return direct.Unsent, false
		}
		a.conn = conn
		a.stopWatch = context.AfterFunc(a.ctx, func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(a.timeLeft())) // here and below: it fails on a closed connection, whose next use returns the error
		err = a.identify(conn)
		if err == nil {
			return 0, true
		}
		if a.handOver(direct.Unidentified) { // it also ends the watch, which uses a.conn
			return direct.Hung, false
		}
		conn.Close()
		a.stopWatch()
		switch {
		case a.hasEnded():
			return direct.Withheld, false
		case !a.mayConnectAgain(conn, err):
			return direct.Unidentified, false
		}
	}
}

// callInfo returns what is sent to the server along with the request.
func (a *attempt) callInfo(timeLeft time.Duration) CallInfo {
	return CallInfo{TimeLeft: timeLeft, Server: a.cmd.Server.Name(), Team: a.x.team, AfterEvent: a.afterEvent}
}
