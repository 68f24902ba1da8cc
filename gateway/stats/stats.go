package stats

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/uber-go/tally/v4"
)

// Stats is the metrics of one router.
type Stats struct {
	scope         tally.Scope
	attempts      map[direct.Outcome]tally.Counter
	sourceCalls   sync.Map        // of *atomic.Int64, the calls to the source by what they are for
	counters      sync.Map        // of counterKey: looking one up by its labels costs more than a refusal
	QueueWait     tally.Histogram // in the queue, of a request that was sent
	FirstEvent    tally.Histogram // event of an answer, from the start of its request
	RequestTime   tally.Histogram // a request, from its start to its end
	EventPause    tally.Histogram // between events of a stream, as they are forwarded
	serverTime    tally.Histogram // an attempt, from its start to its end
	RouterSilence tally.Histogram // of another router, when it is heard again
	LoadsAge      tally.Histogram // of the others' loads, when newer ones come
	ConfigAge     tally.Histogram // of the configuration in force, every few seconds
}

// durationBuckets are the bounds of the histograms.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// ageBuckets are the bounds of histograms of what may be old.
var ageBuckets = tally.MustMakeExponentialDurationBuckets(time.Second, 2, 18)

// New returns metrics that are registered at a scope.
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
	for o := direct.Done; o <= direct.Withheld; o++ {
		s.attempts[o] = scope.Tagged(map[string]string{"outcome": o.String()}).Counter("attempts")
	}
	return s
}

// counterKey names a counter by its labels.
type counterKey struct{ name, result, reason string }

// counter returns a counter with labels, both from small fixed sets.
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

// Attempt takes in one attempt at a server.
func (s *Stats) Attempt(o direct.Outcome, took time.Duration) {
	s.attempts[o].Inc(1)
	s.serverTime.RecordDuration(took)
}

// Request counts a request that ended.
func (s *Stats) Request(result, reason string) {
	s.counter(counterKey{"requests", result, reason}).Inc(1)
}

// Rejected counts a request that was not admitted.
func (s *Stats) Rejected(reason string) {
	s.counter(counterKey{"rejected", "", reason}).Inc(1)
}

// ServerNotice counts what a server said of itself in an answer.
func (s *Stats) ServerNotice(n direct.Notice) {
	if n.Leaving {
		s.counter(counterKey{"server_notices", "", "leaving"}).Inc(1)
	}
	if n.Backoff > 0 {
		s.counter(counterKey{"server_notices", "", "backoff"}).Inc(1)
	}
}

// RolloutStep counts a step of a roll-out, by what happened.
func (s *Stats) RolloutStep(step string) { s.counter(counterKey{"rollout_steps", "", step}).Inc(1) }

// RolloutResponse counts an answer that says something of a version, by the side of its
// server and whether it was bad.
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

// RolloutResponsesDropped counts answers that nobody came to judge.
func (s *Stats) RolloutResponsesDropped(n int64) {
	s.counter(counterKey{"rollout_answers_dropped", "", ""}).Inc(n)
}

// DatagramFailed counts a datagram that could not be sent to another router.
func (s *Stats) DatagramFailed() { s.counter(counterKey{"datagrams_failed", "", ""}).Inc(1) }

// CountSourceCall counts a call to the source by what it is for.
func (s *Stats) CountSourceCall(what string) {
	count, _ := s.sourceCalls.LoadOrStore(what, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
}

// SourceCalls returns how many calls to the source were made since the start, by what they were for.
func (s *Stats) SourceCalls() map[string]int64 {
	out := make(map[string]int64)
	s.sourceCalls.Range(func(what, count any) bool {
		out[what.(string)] = count.(*atomic.Int64).Load()
		return true
	})
	return out
}

// DatagramUnreadable counts a datagram of another router that could not be read.
func (s *Stats) DatagramUnreadable() { s.counter(counterKey{"datagrams_unreadable", "", ""}).Inc(1) }

// RecordSourceCall takes in one call to the source.
func (s *Stats) RecordSourceCall(feed string, took time.Duration, err error) {
	s.CountSourceCall(feed)
	result := "done"
	if err != nil {
		result = "failed"
	}
	labels := map[string]string{"feed": feed, "result": result}
	s.scope.Tagged(labels).Histogram("source_call", durationBuckets).RecordDuration(took)
}
