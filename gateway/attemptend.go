package gateway

import (
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/internal/framing"
)

// endWithoutResponse ends an attempt without a usable response. It also ends the request if
// its caller has left or its deadline has passed.
func (a *attempt) endWithoutResponse(o direct.Outcome) (direct.Outcome, bool) {
	switch {
	case a.x.ctx.Err() != nil:
		a.x.callerLeft(0)
		return direct.GivenUp, true
	case a.x.hasStopped():
		return a.endStopped(o)
	case a.x.front.core.Now()+minTimeLeft >= a.x.deadline:
		if o.MayHaveRun() {
			o = direct.GivenUp
		}
		a.endExpired(o)
		return o, true
	case a.identity.unheld:
		a.x.bindToListed(a)
	case a.leavesOriginInDoubt(o):
		a.x.originInDoubt()
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
	a.x.front.core.Update(direct.AttemptEndMsg{Now: a.x.front.core.Now(), ID: a.id, Outcome: o})
}

// release returns the connection to the pool. It closes the connection instead if the
// caller has left, since stopWatch then came too late: the watch may close the connection
// at any time.
func (a *attempt) release() {
	a.x.front.core.endAttempt(a.id) // a late abort must not close a connection of the pool
	if !a.stopWatch() {
		a.conn.Close()
		return
	}
	a.released, a.connEnd = true, a.conn.End()
	a.conn.Release()
}

// endOfConn returns how the connection ended, as far as it is the attempt's own.
func (a *attempt) endOfConn() backend.ConnEnd {
	if a.conn == nil || a.released {
		return a.connEnd
	}
	return a.conn.End()
}

// closeConn closes the connection to the server, unless the pool has it again.
func (a *attempt) closeConn() {
	if a.conn != nil && !a.released {
		a.conn.Close()
	}
}

// countBreak counts a connection that the server has ended though the response's framing says that it goes on.
func (a *attempt) countBreak() {
	if a.conn == nil || a.released || a.response != nil && framing.IsUnframed(a.response) {
		return
	}
	switch a.conn.End().Event {
	case backend.EndedByPeer, backend.EndedByReset:
		a.x.front.pool.CountBreak(a.conn)
	}
}

// finish ends all that watches the attempt. It may be called more than once.
func (a *attempt) finish() {
	a.x.front.core.endAttempt(a.id)
	if a.stopWatch != nil {
		a.stopWatch()
	}
	a.watch.stop()
	a.countBreak()
	a.unframed.release()
	a.cancel()
}
