package gateway

import (
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/internal/framing"
	"github.com/croftvale/croftvale/internal/socket"
	"github.com/phuslu/log"
)

// log logs the result of a request. Failures and refusals are rate-limited, and successes
// are sampled by id.
func (x *exchange) log(result string, status int, reason string) {
	if result == resultServed {
		if !eventlog.Sampled(x.info.ID) {
			return
		}
	} else if !x.front.log.AllowFailure() {
		return
	}
	e := x.describe(x.front.log.Event("request_"+result)).Int("status", status).Str("reason", reason).Dur("took", x.front.core.Now()-x.start)
	if x.respondedAt > 0 {
		e.Dur("first_after", x.respondedAt-x.start)
	}
	e.Msg("")
}

// logRetry logs an attempt that did not end its request.
func (x *exchange) logRetry(o direct.Outcome) {
	if x.front.log.AllowFailure() {
		x.describe(x.front.log.Event("attempt_ended")).Str("outcome", o.String()).Dur("after", x.front.core.Now()-x.start).Msg("")
	}
}

// logOtherStart logs that the server has another start than its entry names, so that its version is not
// known. begun tells whether the request needs the version that began its stream.
func (a *attempt) logOtherStart(conn *backend.Conn) {
	if a.x.front.log.AllowFailure() {
		started, _ := conn.ServerStart()
		a.x.front.log.Event("other_start").Str("request", a.x.info.ID).Str("server", a.cmd.Server.ID).Int64("started", started).
			Str("version", a.cmd.Server.Version).Bool("begun", a.x.needsVersion()).Bool("new_conn", !conn.IsReused()).
			Uint64("servers", a.x.front.feeds.Servers.Revision()).Msg("")
	}
}

// logUnframedEnd logs how the end of an unframed response was judged, unless the same start of its server has answered
// since. Of those judged whole, a sample is logged, and each whose connection has failed.
func (a *attempt) logUnframedEnd() {
	end := a.unframed.end
	usual := end.evidence >= sameStart || end.isWhole() && !eventlog.Sampled(a.x.info.ID)
	if usual && end.conn != socket.StateFailed || !a.x.front.log.AllowFailure() {
		return
	}
	e := a.x.front.log.Event("unframed_end").Str("request", a.x.info.ID).Str("route", a.x.route.Name).Str("server", a.cmd.Server.ID).
		Str("evidence", end.evidence.String()).Bool("whole", end.isWhole()).Str("connection", end.conn.String()).Dur("took", end.took).Bool("server_leaving", a.notice.Leaving)
	if a.x.position.hasID {
		e.Int64("last_event", a.x.position.id)
	}
	e.Msg("")
}

// logBackup logs a backup that has ended without taking over.
func (f *front) logBackup(a *attempt, o direct.Outcome) {
	if f.log.AllowFailure() {
		f.log.Event("backup_ended").Str("request", a.x.info.ID).Str("route", a.x.route.Name).Str("server", a.cmd.Server.ID).
			Str("outcome", o.String()).Dur("after", f.core.Now()-a.startedAt).Msg("")
	}
}

// logPanic logs a panic of a handler. consistent reports whether no update of the state machine was in progress.
func (f *front) logPanic(r *http.Request, cause any, consistent bool) {
	f.stats.HandlerPanicked()
	f.log.Event("handler_panicked").Str("request", f.dialect.RequestID(r.Header)).Bool("consistent", consistent).
		Err(errors.Newf("%v", cause)).Bytes("stack", debug.Stack()).Msg("")
}

// describe adds the fields common to all log lines on a request: its origin, its target,
// and the basis of its placement, with ages and revisions.
func (x *exchange) describe(e *log.Entry) *log.Entry {
	feeds := x.front.feeds
	e.Str("request", x.info.ID).Str("team", x.team).Str("route", x.route.Name).Str("service", x.service).
		Dur("age", x.age).Dur("left", x.info.TimeLeft).
		Int("attempts", x.attempts).Uint64("config", feeds.Config.Revision()).Uint64("servers", feeds.Servers.Revision()).Uint64("evacuations", feeds.Evacuations.Revision()).
		Dur("config_age", feeds.Config.Age()).Float64("share", x.lastSend.PlacementBasis.Share)
	if x.fingerprint != 0 {
		e.Str("content", x.fingerprint.String())
	}
	if n := len(x.info.Parts); n > 1 {
		e.Str("parts", eventlog.PartList(x.info.Parts[:n-1]))
	}
	if x.info.AfterEvent != "" {
		e.Str("resumes", x.info.Resumes).Str("after_event", x.info.AfterEvent).Str("begun_at", x.stream.version).Bool("recorded", x.stream.recorded)
	}
	if x.headSent && x.position.hasID {
		e.Int64("last_event", x.position.id)
	}
	if x.attempts > 0 {
		basis := x.lastSend.PlacementBasis
		e.Str("server", x.lastSend.Server.ID).Int("running", basis.Running).Int("pending_tokens", basis.Pending).
			Int("miss_tokens", basis.MissTokens).Dur("estimate", basis.Estimate).Dur("waited", basis.QueueWait)
		e.Str("version", x.lastSend.Server.Version)
		if basis.Side != "" {
			e.Str("side", string(basis.Side))
		}
		x.current.describe(e)
	}
	return e
}

// describe adds what the server announced, how long it has been silent, and why there was no backup.
func (a *attempt) describe(e *log.Entry) {
	if a.notice.Leaving {
		e.Bool("server_leaving", true)
	}
	if a.identity.incarnation != direct.UnknownIncarnation {
		e.Str("incarnation", a.identity.incarnation.String())
	}
	if end := a.unframed.end; end.checked {
		e.Str("unframed_end", end.evidence.String()).Bool("whole", end.isWhole()).Str("connection", end.conn.String()).Dur("end_check", end.took)
	}
	if end := a.endOfConn(); end.Event != backend.NotEnded {
		e.Str("conn_end", end.Event.String()).Bool("on_write", end.OnWrite)
	}
	if a.response != nil && a.events != nil {
		e.Str("framing", framingOf(a.response)).Bool("brought_events", a.forwarding)
	}
	if a.notice.Backoff > 0 {
		e.Dur("server_backoff", a.notice.Backoff)
	}
	silent, declined := a.watch.state()
	if silent > 0 {
		e.Dur("silent", silent)
	}
	if declined != "" {
		e.Str("no_backup", string(declined))
	}
}

// framingOf returns how the end of a response is told.
func framingOf(resp *http.Response) string {
	switch {
	case framing.IsUnframed(resp):
		return "connection"
	case resp.ContentLength >= 0:
		return "length"
	}
	return "chunks"
}

// logRejected logs a request that was not admitted.
func (f *front) logRejected(r *http.Request, refused refusal) {
	// Under pressure there are too many rejections to log each of them.
	if refused.reason == reasonPressure && !eventlog.Sampled(f.dialect.RequestID(r.Header)) {
		f.log.CountDropped()
		return
	}
	if !f.log.AllowFailure() {
		return
	}
	f.log.Event("request_rejected").Str("request", f.dialect.RequestID(r.Header)).Str("host", r.Host).Str("path", pathOf(r.RequestURI)).
		Int("status", refused.status).Str("reason", refused.reason).Uint64("config", f.feeds.Config.Revision()).Msg("")
}
