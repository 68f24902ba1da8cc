package gateway

import (
	"net/http"
	"time"
)

// Results of a request, as logs and metrics name them.
const (
	resultServed     = "served"
	resultRefused    = "refused" // has not run
	resultFailed     = "failed"
	resultCut        = "cut" // aborted after its header was sent
	resultCallerLeft = "caller_left"
)

// refuse ends a request that has not run.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	if x.headSent {
		x.abort(reason)
	}
	x.front.refuse(x.w, http.StatusServiceUnavailable, reason, retryAfter)
	x.finish(resultRefused, http.StatusServiceUnavailable, reason)
}

// fail ends a request that may have run. It forwards the server's own failure if there is
// one.
func (x *exchange) fail(reason string) {
	switch {
	case x.headSent:
		x.abort(reason)
	case x.serverFailure != nil:
		x.serverFailure.write(x)
		x.finish(resultFailed, x.serverFailure.status, reason)
	default:
		x.front.refuse(x.w, http.StatusBadGateway, reason, 0)
		x.finish(resultFailed, http.StatusBadGateway, reason)
	}
}

// timedOut ends a request whose deadline has passed.
func (x *exchange) timedOut() {
	switch {
	case x.headSent:
		x.abort("timeout")
	case x.serverFailure != nil:
		x.serverFailure.write(x)
		x.finish(resultFailed, x.serverFailure.status, "timeout")
	case x.attempts == 0:
		x.refuse("deadline", x.route.Objective)
	default:
		x.front.refuse(x.w, http.StatusGatewayTimeout, "timeout", 0)
		x.finish(resultFailed, http.StatusGatewayTimeout, "timeout")
	}
}

// abort ends a request whose response has begun. It panics, so that net/http closes the
// caller's connection: a truncated response must not look complete.
func (x *exchange) abort(reason string) {
	x.finish(resultCut, http.StatusOK, reason)
	panic(http.ErrAbortHandler)
}

// callerLeft ends a request whose caller has left. The status is the one that was sent, or
// 0 if none was.
func (x *exchange) callerLeft(status int) {
	x.callerGone = true
	x.finish(resultCallerLeft, status, "")
}

// finish logs and counts the result of the request.
func (x *exchange) finish(result string, status int, reason string) {
	x.recordMetrics(result, reason)
	if result == resultServed && x.lastSend.PlacementBasis.Share < firstTryShare {
		x.front.ages.observeFirstTry(x.route.Name, x.info.TimeLeft)
	}
	x.observeTime(result == resultServed)
	x.front.outcomes.record(x, result, x.front.core.Now())
	x.log(result, status, reason)
}

// recordMetrics records the metrics of a request that has ended.
func (x *exchange) recordMetrics(result, reason string) {
	stats := x.front.stats
	stats.Request(result, reason)
	stats.RequestTime.RecordDuration(x.front.core.Now() - x.start)
	if x.attempts > 0 {
		stats.QueueWait.RecordDuration(x.lastSend.PlacementBasis.QueueWait)
	}
	if x.respondedAt > 0 {
		stats.FirstEvent.RecordDuration(x.respondedAt - x.start)
	}
}
