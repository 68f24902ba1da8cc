package gateway

import (
	"net/http"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/phuslu/log"
)

// log logs how a request ended: failures and refusals up to a rate, ordinary successes
// by a sample of ids.
func (x *exchange) log(result string, status int, reason string) {
	if result == resultServed {
		if !eventlog.Sampled(x.envelope.ID) {
			return
		}
	} else if !x.front.log.AllowFailure() {
		return
	}
	e := x.describe(x.front.log.Event("request_"+result)).Int("status", status).Str("reason", reason).Dur("took", x.front.core.Now()-x.start)
	if x.firstAt > 0 {
		e.Dur("first_after", x.firstAt-x.start)
	}
	e.Msg("")
}

// logRetry logs an attempt that led to another decision.
func (x *exchange) logRetry(o direct.Outcome) {
	if x.front.log.AllowFailure() {
		x.describe(x.front.log.Event("attempt_ended")).Str("outcome", o.String()).Dur("after", x.front.core.Now()-x.start).Msg("")
	}
}

// describe adds what every line on a request has: who, where, and what decided
// it, with ages and versions.
func (x *exchange) describe(e *log.Entry) *log.Entry {
	feeds := x.front.feeds
	e.Str("request", x.envelope.ID).Str("team", x.team).Str("route", x.route.Name).Str("service", x.service).
		Dur("age", x.age).Dur("left", x.envelope.Left).
		Int("attempts", x.attempts).Uint64("config", feeds.Config.Revision()).Uint64("servers", feeds.Servers.Revision()).Uint64("evacuations", feeds.Evacuations.Revision()).
		Dur("config_age", feeds.Config.Age()).Float64("share", x.last.PlacementBasis.Share)
	if x.content != 0 {
		e.Str("content", x.content.String())
	}
	if x.attempts > 0 {
		b := x.last.PlacementBasis
		e.Str("server", x.last.Server.ID).Int("running", b.Running).Int("pending_tokens", b.Pending).
			Int("miss_tokens", b.MissTokens).Dur("estimate", b.Estimate).Dur("waited", b.QueueWait)
		if b.Side != "" {
			e.Str("version", x.last.Server.Version).Str("side", string(b.Side))
		}
		if x.notice.Leaving {
			e.Bool("server_leaving", true)
		}
		if x.notice.Backoff > 0 {
			e.Dur("server_backoff", x.notice.Backoff)
		}
	}
	return e
}

// logRejected logs a request that was not admitted.
func (f *front) logRejected(r *http.Request, refused refusal) {
	// Under pressure there are too many to be told one by one.
	if refused.reason == reasonPressure && !eventlog.Sampled(f.dialect.ID(r.Header)) {
		f.log.CountDropped()
		return
	}
	if !f.log.AllowFailure() {
		return
	}
	f.log.Event("request_rejected").Str("request", f.dialect.ID(r.Header)).Str("host", r.Host).Str("path", pathOf(r.RequestURI)).
		Int("status", refused.status).Str("reason", refused.reason).Uint64("config", f.feeds.Config.Revision()).Msg("")
}
