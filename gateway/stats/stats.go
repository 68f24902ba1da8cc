package stats

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/origin"
	"github.com/uber-go/tally/v4"
)

// Stats holds the metrics of one router.
type Stats struct {
	scope         tally.Scope
	attempts      map[direct.Outcome]tally.Counter
	sourceCalls   sync.Map        // purpose -> *atomic.Int64, the number of calls to the source
	counters      sync.Map        // counterKey -> tally.Counter; a lookup by labels costs more than a refusal
	QueueWait     tally.Histogram // time that a request spent in the queue before it was sent
	FirstEvent    tally.Histogram // time from the start of a request to the first event of its response
	RequestTime   tally.Histogram // time from the start to the end of a request
	EventPause    tally.Histogram // time between forwarded events of a stream
	serverTime    tally.Histogram // time from the start to the end of an attempt
	RouterSilence tally.Histogram // time without a message from another router, recorded at the next one
	LoadsAge      tally.Histogram // age of another router's loads when newer ones arrive
	ConfigAge     tally.Histogram // age of the applied configuration, recorded every few seconds
}

// durationBuckets are the buckets of duration histograms.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// ageBuckets are the buckets of the histogram of the configuration age, which can be large.
var ageBuckets = tally.MustMakeExponentialDurationBuckets(time.Second, 2, 18)

// New returns metrics that are registered in a scope.
func New(scope tally.Scope) *Stats {
	s := &Stats{
		scope:         scope,
		attempts:      make(map[direct.Outcome]tally.Counter),
		QueueWait:     scope.Histogram("queue_wait", durationBuckets),
		FirstEvent:    scope.Histogram("first_event", durationBuckets),
		RequestTime:   scope.Histogram("request", durationBuckets),
		EventPause:    scope.Histogram("event_pause", durationBuckets),
		serverTime:    scope.Histogram("server_time", durationBuckets),
		RouterSilence: scope.Histogram("router_silence", durationBuckets),
		LoadsAge:      scope.Histogram("loads_age", durationBuckets),
		ConfigAge:     scope.Histogram("config_age", ageBuckets),
	}
	for o := direct.Done; o <= direct.Unidentified; o++ {
		s.attempts[o] = scope.Tagged(map[string]string{"outcome": o.String()}).Counter("attempts")
	}
	return s
}

// counterKey identifies a counter by its name and labels.
type counterKey struct{ name, result, reason string }

// counter returns the counter of a key. Names and labels come from small fixed sets.
func (s *Stats) counter(k counterKey) tally.Counter {
	if c, ok := s.counters.Load(k); ok {
		return c.(tally.Counter)
	}
	labels := map[string]string{"reason": k.reason}
	if k.result != "" {
		labels["result"] = k.result
	}
	c, _ := s.counters.LoadOrStore(k, s.scope.Tagged(labels).Counter(k.name))
	return c.(tally.Counter)
}

// Attempt records the outcome and the duration of an attempt at a server.
func (s *Stats) Attempt(o direct.Outcome, took time.Duration) {
	s.attempts[o].Inc(1)
	s.serverTime.RecordDuration(took)
}

// UnframedEnd counts an end of a response that has neither a length nor chunks, by what its server was found to
// do afterwards.
func (s *Stats) UnframedEnd(evidence string, whole bool) {
	s.counter(counterKey{"unframed_ends", resultOfEnd[whole], evidence}).Inc(1)
}

// UnframedConn counts an end of such a response by the state of its connection.
func (s *Stats) UnframedConn(state string, whole bool) {
	s.counter(counterKey{"unframed_conns", resultOfEnd[whole], state}).Inc(1)
}

// resultOfEnd is the label of whole ends and of others.
var resultOfEnd = map[bool]string{true: "whole", false: "broken"}

// ServerIdentified counts a comparison of a server's own start with that of its entry.
func (s *Stats) ServerIdentified(i direct.Incarnation) {
	s.counter(counterKey{"server_incarnations", "", i.String()}).Inc(1)
}

// TaskPanicked counts a panic of a background task that was restarted.
func (s *Stats) TaskPanicked(name string) { s.counter(counterKey{"task_panics", "", name}).Inc(1) }

// HandlerPanicked counts a panic of a request's handler.
func (s *Stats) HandlerPanicked() { s.counter(counterKey{"handler_panics", "", ""}).Inc(1) }

// Request counts an ended request, by its result and the reason for it.
func (s *Stats) Request(result, reason string) {
	s.counter(counterKey{"requests", result, reason}).Inc(1)
}

// Rejected counts a request that was not admitted, by reason.
func (s *Stats) Rejected(reason string) {
	s.counter(counterKey{"rejected", "", reason}).Inc(1)
}

// StreamResumed counts a request that resumes a stream, by what is known of its origin and why.
func (s *Stats) StreamResumed(r origin.Resolution) {
	s.counter(counterKey{"streams_resumed", r.Evidence.String(), r.Certainty.String()}).Inc(1)
}

// ServerNotice counts the notices in a server's response.
func (s *Stats) ServerNotice(n direct.Notice) {
	if n.Leaving {
		s.counter(counterKey{"server_notices", "", "leaving"}).Inc(1)
	}
	if n.Backoff > 0 {
		s.counter(counterKey{"server_notices", "", "backoff"}).Inc(1)
	}
}

// RolloutStep counts a step of a rollout, by its name.
func (s *Stats) RolloutStep(step string) { s.counter(counterKey{"rollout_steps", "", step}).Inc(1) }

// RolloutResponse counts a response that is evidence in a rollout, by the version of its server
// (old or target) and whether it was bad.
func (s *Stats) RolloutResponse(target, bad bool) {
	side, result := "old", "good"
	if target {
		side = "target"
	}
	if bad {
		result = "bad"
	}
	s.counter(counterKey{"rollout_answers", result, side}).Inc(1)
}

// RolloutResponsesDropped counts responses that were dropped before they were evaluated.
func (s *Stats) RolloutResponsesDropped(n int64) {
	s.counter(counterKey{"rollout_answers_dropped", "", ""}).Inc(n)
}

// DatagramFailed counts a datagram that could not be sent to another router.
func (s *Stats) DatagramFailed() { s.counter(counterKey{"datagrams_failed", "", ""}).Inc(1) }

// CountSourceCall counts a call to the source, by its purpose.
func (s *Stats) CountSourceCall(purpose string) {
	count, _ := s.sourceCalls.LoadOrStore(purpose, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
}

// SourceCalls returns the number of calls to the source since the start, by purpose.
func (s *Stats) SourceCalls() map[string]int64 {
	out := make(map[string]int64)
	s.sourceCalls.Range(func(purpose, count any) bool {
		out[purpose.(string)] = count.(*atomic.Int64).Load()
		return true
	})
	return out
}

// DatagramUnreadable counts a datagram from another router that could not be decoded.
func (s *Stats) DatagramUnreadable() { s.counter(counterKey{"datagrams_unreadable", "", ""}).Inc(1) }

// RecordSourceCall records a call to the named source of a feed, with its duration and result.
func (s *Stats) RecordSourceCall(source string, took time.Duration, err error) {
	s.CountSourceCall(source)
	result := "done"
	if err != nil {
		result = "failed"
	}
	labels := map[string]string{"feed": source, "result": result}
	s.scope.Tagged(labels).Histogram("source_call", durationBuckets).RecordDuration(took)
}
