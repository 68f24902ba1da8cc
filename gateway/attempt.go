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
	// minStreamStall is the least pause within a stream after which it goes on
	// elsewhere, where it may; pauseSilence the same in longest pauses.
	minStreamStall    = 800 * time.Millisecond
	streamStallPauses = 4
	// stallObjectives is the part of the objective after which a request that may
	// be repeated is tried elsewhere; streams get streamPatience.
	stallObjectives       = 0.6
	streamStallObjectives = 3.0
	// stallEstimates is the least patience in expected times to a first event.
	stallEstimates = 3
	// minTimeLeft is the shortest time that is worth sending a request for.
	minTimeLeft = 2 * time.Millisecond
)

// errTooLarge says that an answer is not one that a server may give.
var errTooLarge = errors.New("the answer is spoiled")

// attempt is one request to one server.
type attempt struct {
	x         *exchange
	cmd       direct.SendCmd
	conn      *backend.Conn
	stopWatch func() bool // ends the watch on the caller
	// forwarding says that the first event of a stream has been forwarded.
	forwarding bool
	path       traffic.Path
	// moved says that the attempt was broken off to go on at another version's server.
	moved       atomic.Bool
	movable     bool // a move may break it off; see allowMove
	connRefused bool // the server's host refused a connection
	dialOverdue bool // this process ran too late to connect
}

// countBytes counts bytes that go to the server or come from it.
func (a *attempt) countBytes(n int) { a.x.front.traffic.Add(a.path, n) }

// run sends the request and passes the answer on. It returns how the attempt
// ended and whether the caller's request has ended with it.
func (a *attempt) run() (direct.Outcome, bool) {
	// The caller's time goes on while the host is suspended.
	a.x.front.core.checkSuspension()
	timeLeft := a.x.deadline - a.x.front.core.Now()
	if timeLeft < minTimeLeft {
		a.endExpired(direct.GivenUp)
		return direct.GivenUp, true
	}
	conn, err := a.x.front.pool.Get(a.x.ctx, a.cmd.Server.Address)
	if err != nil {
		a.connRefused = errors.Is(err, syscall.ECONNREFUSED)
		a.dialOverdue = errors.Is(err, backend.ErrOverdue)
		return a.endWithoutResponse(direct.Unsent)
	}
	if a.x.front.core.shouldWithhold(a.x.id) {
		conn.Close()
		return a.endWithoutResponse(direct.Withheld)
	}
	a.conn = conn
	a.stopWatch = context.AfterFunc(a.x.ctx, func() { conn.Close() })
	defer a.stopWatch()
	a.allowMove()
	defer a.forbidMove()
	timeLeft = a.x.deadline - a.x.front.core.Now()
	_ = conn.SetDeadline(time.Now().Add(timeLeft)) // here and below: a closed connection shows when it is used
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

// callInfo is what the server is told.
func (a *attempt) callInfo(timeLeft time.Duration) CallInfo {
	info := CallInfo{TimeLeft: timeLeft, Server: a.cmd.Server.Name(), Team: a.x.team, AfterEvent: a.x.info.AfterEvent}
	if a.x.headSent {
		info.AfterEvent = formatID(a.x.lastEventID)
	}
	return info
}

// receive reads the head of the answer, and hands over to what reads the rest.
func (a *attempt) receive(timeLeft time.Duration) (direct.Outcome, bool) {
	timeout, bounded := a.stallTimeout(timeLeft)
	if bounded {
		_ = a.conn.SetReadDeadline(time.Now().Add(timeout))
	}
	resp, err := a.conn.Answer(a.x.r.Method, func(h *http.Response) bool {
		info := a.x.front.dialect.ParseResponse(h.StatusCode, h.Header)
		a.applyNotice(info)
		return info.RequestID == a.x.info.ID
	})
	if err != nil {
		a.conn.Close()
		return a.endWithoutResponse(a.readOutcome(err, bounded))
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

// applyNotice takes in what the server says of itself with an answer, also one that comes late
// and answers an earlier request.
func (a *attempt) applyNotice(info ResponseInfo) {
	if info.WrongServer {
		return // it is another server's word
	}
	if info.NoticeErr != nil {
		a.x.front.log.Unreadable(a.cmd.Server, info.NoticeErr)
	}
	if info.Notice.IsZero() {
		return
	}
	a.x.notice = info.Notice
	a.x.front.stats.Notice(info.Notice)
	a.x.front.core.Update(direct.NoticeMsg{Now: a.x.front.core.Now(), Server: a.cmd.Server.ID, Notice: info.Notice})
}

// stallTimeout is how long the server may say nothing, where the request could be
// tried elsewhere.
func (a *attempt) stallTimeout(timeLeft time.Duration) (time.Duration, bool) {
	route := a.x.route
	if !a.mayRetry() || !a.x.front.core.disabled.Enabled(direct.StallTimeout) {
		return 0, false
	}
	objectives := stallObjectives
	if route.Kind == direct.Stream {
		objectives = streamStallObjectives
	}
	timeout := max(time.Duration(objectives*float64(route.Objective)), stallEstimates*a.cmd.PlacementBasis.Estimate)
	return timeout, timeout < timeLeft
}

// readOutcome tells a server that said nothing in good time from one that broke
// off.
func (a *attempt) readOutcome(err error, bounded bool) direct.Outcome {
	if bounded && errors.Is(err, os.ErrDeadlineExceeded) {
		return direct.Hung
	}
	return direct.Broken
}

// endWithoutResponse ends an attempt without an answer. The request has ended too where the
// caller left or its time is over.
func (a *attempt) endWithoutResponse(o direct.Outcome) (direct.Outcome, bool) {
	if a.moved.Load() && (o == direct.Broken || o == direct.Hung) {
		o = direct.Moved
	}
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

// endExpired gives the answer of a request whose time is over. It may panic to
// break a stream off, so the machine is told first.
func (a *attempt) endExpired(o direct.Outcome) {
	if a.x.headSent {
		a.reportEnd(o)
	}
	a.x.timedOut()
}

// reportEnd tells the machine that the attempt ended, before a panic.
func (a *attempt) reportEnd(o direct.Outcome) {
	a.x.front.core.Update(direct.AttemptEndMsg{Now: a.x.front.core.Now(), ID: a.x.id, Outcome: o})
}

// discard drops an answer of which only the head counts.
func (a *attempt) discard(resp *http.Response) {
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes)); err != nil || n == maxDiscardBytes {
		a.conn.Close()
		return
	}
	a.release()
}

// release keeps the connection for other requests. Once the caller's leaving
// may close it, it is this request's alone.
func (a *attempt) release() {
	a.forbidMove()
	if !a.stopWatch() {
		a.conn.Close()
		return
	}
	a.conn.Release()
}

// maxDiscardBytes bounds a body that is read only to keep its connection.
const maxDiscardBytes = 64 << 10
