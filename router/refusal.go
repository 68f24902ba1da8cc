package router

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/relay"
)

// refusal is a final response that croftvale itself gives to a request.
type refusal struct {
	status     int
	kind       string
	message    string
	remedy     string
	ran        queue.Ran
	retryAfter time.Duration
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Kind       string `json:"type"`
	Message    string `json:"message"`
	Remedy     string `json:"remedy"`
	RequestID  string `json:"request_id"`
	RetryAfter int    `json:"retry_after_seconds,omitempty"`
}

var (
	refusedNoBundle = refusal{status: http.StatusServiceUnavailable, kind: "not_ready",
		message: "this router has no configuration yet", remedy: "come back after the time in Retry-After", retryAfter: time.Second}
	refusedLeaving = refusal{status: http.StatusServiceUnavailable, kind: "leaving",
		message: "this router is stopping", remedy: "send the request again; the balancer picks another router", retryAfter: time.Second}
	refusedBusy = refusal{status: http.StatusServiceUnavailable, kind: "router_busy",
		message: "this router can't take more requests at this moment", remedy: "come back after the time in Retry-After", retryAfter: time.Second}
	refusedKey = refusal{status: http.StatusUnauthorized, kind: "unknown_key",
		message: "the bearer key belongs to no team", remedy: "send Authorization: Bearer with a key that the operators gave your team"}
	refusedRoute = refusal{status: http.StatusNotFound, kind: "no_such_work",
		message: "no work has this method, path and model", remedy: "correct the request, or have the operators add a work to the bundle"}
	refusedWork = refusal{status: http.StatusForbidden, kind: "work_not_allowed",
		message: "the team may not ask for this work", remedy: "have the operators add the work to the team in the bundle"}
	refusedLarge = refusal{status: http.StatusRequestEntityTooLarge, kind: "body_too_large",
		message: "the body is larger than the limit", remedy: "send less, or have the operators raise limits.max_body"}
	refusedHeader = refusal{status: http.StatusBadRequest, kind: "bad_header",
		message: "a croftvale header can't be read", remedy: "Croftvale-Class is urgent, ordinary or batch; Croftvale-Repeatable is yes or no; Croftvale-Deadline is a duration such as 2s; Croftvale-Key-Made is an RFC 3339 time"}
	refusedBody = refusal{status: http.StatusBadRequest, kind: "bad_body",
		message: "the body could not be read", remedy: "send the whole body, as long as Content-Length says"}
)

// Reasons for refusals of requests that have not been queued.
const (
	reasonKeyInUse     queue.Reason = "idempotency_key_in_use"
	reasonKeyUncertain queue.Reason = "idempotency_key_unsure"
)

// refusalsByReason holds the refusal for each reason. Its kind, ran and
// retryAfter are set by refusalOf.
var refusalsByReason = map[queue.Reason]refusal{
	reasonKeyInUse: {status: http.StatusConflict,
		message: "another request with this Idempotency-Key runs or has run", remedy: "find out what became of it; use a new key for a new piece of work"},
	reasonKeyUncertain: {status: http.StatusServiceUnavailable,
		message: "it can't be told at this moment whether this Idempotency-Key has been used", remedy: "come back after the time in Retry-After; Croftvale-Key-Made with the time of the first attempt helps after restarts"},
	queue.ReasonTeamFull: {status: http.StatusTooManyRequests,
		message: "too many of the team's requests wait at this router", remedy: "come back after the time in Retry-After"},
	queue.ReasonRouterFull: {status: http.StatusServiceUnavailable,
		message: "too many requests wait at this router", remedy: "come back after the time in Retry-After"},
	queue.ReasonNoServer: {status: http.StatusServiceUnavailable,
		message: "no backend server for this work can be reached", remedy: "come back after the time in Retry-After"},
	queue.ReasonDeadline: {status: http.StatusServiceUnavailable,
		message: "the request would not be served before its deadline", remedy: "come back after the time in Retry-After, or allow more time"},
	queue.ReasonWaitedTooLong: {status: http.StatusServiceUnavailable,
		message: "the request waited as long as it may", remedy: "come back after the time in Retry-After"},
	queue.ReasonServerFailed: {status: http.StatusBadGateway,
		message: "backend servers turned the request away", remedy: "come back after the time in Retry-After"},
	queue.ReasonOutcomeUnknown: {status: http.StatusBadGateway,
		message: "the backend server was lost; the request may have run", remedy: "find out whether it ran before sending it again"},
}

// refusalOf returns the refusal for a command of the queue.
func refusalOf(c queue.RefuseCmd) refusal {
	r := refusalsByReason[c.Reason]
	r.kind = string(c.Reason)
	r.ran = c.Ran
	r.retryAfter = c.RetryAfter
	return r
}

// write sends the refusal as an HTTP response.
func (r refusal) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set(relay.HeaderRan, r.ran.String())
	h.Set(relay.HeaderRequestID, requestID)
	h.Set("Content-Type", "application/json")
	seconds := int(math.Ceil(r.retryAfter.Seconds()))
	if seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := json.Marshal(refusalBody{refusalError{r.kind, r.message, r.remedy, requestID, seconds}})
	if err != nil {
		panic(err) // plain strings always encode
	}
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(r.status)
	_, _ = w.Write(append(body, '\n')) // fails only if the caller has closed the connection
}
