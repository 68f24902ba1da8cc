package gateway

import (
	"sync"
	"time"

	"github.com/croftvale/croftvale/gateway/eventlog"
)

// OutcomeCounts counts what callers got, as callers value it: whether the first try was
// answered in time, how long they were held for nothing, and how often they came back in
// vain.
type OutcomeCounts struct {
	FirstOnTime     int64 `json:"first_in_time"` // answered within the objective at the first try
	RetriesServed   int64 `json:"later_tries"`   // answered, to a caller that had asked before
	FirstLate       int64 `json:"late"`          // answered at the first try, past the objective
	FirstUnserved   int64 `json:"refused"`       // unserved at the first try
	RetriesUnserved int64 `json:"again"`         // unserved, to a caller that had asked before
	UnservedMS      int64 `json:"held_ms"`       // milliseconds that unserved requests were held
}

// OutcomeCountsEvent is the event of the log lines that tell accounts, with the fields of
// AccountsLine.
const OutcomeCountsEvent = "accounts"

// OutcomeCountsLine is what a router's log says of its accounts: what was counted since its
// last such line.
type OutcomeCountsLine struct {
	Event  string                   `json:"event"`
	Teams  map[string]OutcomeCounts `json:"teams"`
	Routes map[string]OutcomeCounts `json:"routes"`
}

// Add adds up two accounts.
func (a *OutcomeCounts) Add(b OutcomeCounts) {
	a.FirstOnTime += b.FirstOnTime
	a.RetriesServed += b.RetriesServed
	a.FirstLate += b.FirstLate
	a.FirstUnserved += b.FirstUnserved
	a.RetriesUnserved += b.RetriesUnserved
	a.UnservedMS += b.UnservedMS
}

// outcomeCounters are those of a router, by team and by route. The zero value is ready.
type outcomeCounters struct {
	mu     sync.Mutex
	teams  map[string]OutcomeCounts
	routes map[string]OutcomeCounts
}

// record counts how a request ended. Requests whose caller left are not counted: nobody
// knows what it would have got.
func (a *outcomeCounters) record(x *exchange, result string, now time.Duration) {
	if result == resultCallerLeft {
		return
	}
	counts := countsOf(x, result, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.teams == nil {
		a.teams, a.routes = make(map[string]OutcomeCounts), make(map[string]OutcomeCounts)
	}
	for name, all := range map[string]map[string]OutcomeCounts{x.team: a.teams, x.route.Name: a.routes} {
		sum := all[name]
		sum.Add(counts)
		all[name] = sum
	}
}

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

// take returns what was counted since the last call.
func (a *outcomeCounters) take() (teams, routes map[string]OutcomeCounts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	teams, routes = a.teams, a.routes
	a.teams, a.routes = nil, nil
	return teams, routes
}

// log logs what was counted since the last such line.
func (a *outcomeCounters) log(l *eventlog.Log) {
	if teams, routes := a.take(); len(teams) > 0 {
		l.Event(OutcomeCountsEvent).Any("teams", teams).Any("routes", routes).Msg("")
	}
}
