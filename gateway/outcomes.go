package gateway

import (
	"sync"
	"time"

	"github.com/croftvale/croftvale/gateway/eventlog"
)

// OutcomeCounts counts requests by outcome, as seen by callers: whether they were served,
// on the first try or on a retry, within the objective or late.
type OutcomeCounts struct {
	FirstOnTime     int64 `json:"first_in_time"` // first tries with a response within the objective
	RetriesServed   int64 `json:"later_tries"`   // retries served
	FirstLate       int64 `json:"late"`          // first tries with a response after the objective
	FirstUnserved   int64 `json:"refused"`       // first tries not served
	RetriesUnserved int64 `json:"again"`         // retries not served
	UnservedMS      int64 `json:"held_ms"`       // total time for which unserved requests were held, in milliseconds
}

// OutcomeCountsEvent is the event of log lines with outcome counts. Their fields are those
// of OutcomeCountsLine.
const OutcomeCountsEvent = "accounts"

// OutcomeCountsLine is a log line with the outcomes counted since the router's previous
// line of this kind.
type OutcomeCountsLine struct {
	Event  string                   `json:"event"`
	Teams  map[string]OutcomeCounts `json:"teams"`
	Routes map[string]OutcomeCounts `json:"routes"`
}

// Add adds b to a.
func (a *OutcomeCounts) Add(b OutcomeCounts) {
	a.FirstOnTime += b.FirstOnTime
	a.RetriesServed += b.RetriesServed
	a.FirstLate += b.FirstLate
	a.FirstUnserved += b.FirstUnserved
	a.RetriesUnserved += b.RetriesUnserved
	a.UnservedMS += b.UnservedMS
}

// outcomeCounters holds the outcome counts of a router, by team and by route. The zero
// value is ready to use.
type outcomeCounters struct {
	mu     sync.Mutex
	teams  map[string]OutcomeCounts
	routes map[string]OutcomeCounts
}

// record counts the result of a request. Requests whose caller left are not counted, since
// their outcome is unknown.
func (c *outcomeCounters) record(x *exchange, result string, now time.Duration) {
	if result == resultCallerLeft {
		return
	}
	counts := countsOf(x, result, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.teams == nil {
		c.teams, c.routes = make(map[string]OutcomeCounts), make(map[string]OutcomeCounts)
	}
	for name, all := range map[string]map[string]OutcomeCounts{x.team: c.teams, x.route.Name: c.routes} {
		sum := all[name]
		sum.Add(counts)
		all[name] = sum
	}
}

// countsOf returns the counts for a single request.
func countsOf(x *exchange, result string, now time.Duration) OutcomeCounts {
	isRetry := x.age > 0
	if result == resultServed {
		respondedAt := now
		if x.respondedAt > 0 {
			respondedAt = x.respondedAt
		}
		switch {
		case isRetry:
			return OutcomeCounts{RetriesServed: 1}
		case respondedAt-x.start > x.route.Objective:
			return OutcomeCounts{FirstLate: 1}
		}
		return OutcomeCounts{FirstOnTime: 1}
	}
	counts := OutcomeCounts{UnservedMS: (now - x.start).Milliseconds()}
	if isRetry {
		counts.RetriesUnserved = 1
	} else {
		counts.FirstUnserved = 1
	}
	return counts
}

// take returns the counts since the previous call and resets them.
func (c *outcomeCounters) take() (teams, routes map[string]OutcomeCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	teams, routes = c.teams, c.routes
	c.teams, c.routes = nil, nil
	return teams, routes
}

// log logs the counts since the previous line.
func (c *outcomeCounters) log(l *eventlog.Log) {
	if teams, routes := c.take(); len(teams) > 0 {
		l.Event(OutcomeCountsEvent).Any("teams", teams).Any("routes", routes).Msg("")
	}
}
