package gateway

import (
	"sync"
	"time"

	"github.com/croftvale/croftvale/gateway/eventlog"
)

// Account counts what callers got, as callers value it: whether the first try was
// answered in time, how long they were held for nothing, and how often they came back in
// vain.
type Account struct {
	FirstInTime int64 `json:"first_in_time"` // answered within the objective at the first try
	LaterTries  int64 `json:"later_tries"`   // answered, to a caller that had asked before
	Late        int64 `json:"late"`          // answered at the first try, past the objective
	Refused     int64 `json:"refused"`       // unserved at the first try
	Again       int64 `json:"again"`         // unserved, to a caller that had asked before
	HeldMS      int64 `json:"held_ms"`       // milliseconds that unserved requests were held
}

// AccountsEvent is the event of the log lines that tell accounts, with the fields of
// AccountsLine.
const AccountsEvent = "accounts"

// AccountsLine is what a router's log says of its accounts: what was counted since its
// last such line.
type AccountsLine struct {
	Event  string             `json:"event"`
	Teams  map[string]Account `json:"teams"`
	Routes map[string]Account `json:"routes"`
}

// Add adds up two accounts.
func (a *Account) Add(b Account) {
	a.FirstInTime += b.FirstInTime
	a.LaterTries += b.LaterTries
	a.Late += b.Late
	a.Refused += b.Refused
	a.Again += b.Again
	a.HeldMS += b.HeldMS
}

// accounts are those of a router, by team and by route. The zero value is ready.
type accounts struct {
	mu     sync.Mutex
	teams  map[string]Account
	routes map[string]Account
}

// note counts how a request ended. Requests whose caller left are not counted: nobody
// knows what it would have got.
func (a *accounts) note(x *exchange, result string, now time.Duration) {
	if result == resultLeft {
		return
	}
	one := accountOf(x, result, now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.teams == nil {
		a.teams, a.routes = make(map[string]Account), make(map[string]Account)
	}
	for name, all := range map[string]map[string]Account{x.team: a.teams, x.route.Name: a.routes} {
		sum := all[name]
		sum.Add(one)
		all[name] = sum
	}
}

func accountOf(x *exchange, result string, now time.Duration) Account {
	returned := x.age > 0
	if result == resultServed {
		answered := now
		if x.firstAt > 0 {
			answered = x.firstAt
		}
		switch {
		case returned:
			return Account{LaterTries: 1}
		case answered-x.start > x.route.Objective:
			return Account{Late: 1}
		}
		return Account{FirstInTime: 1}
	}
	one := Account{HeldMS: (now - x.start).Milliseconds()}
	if returned {
		one.Again = 1
	} else {
		one.Refused = 1
	}
	return one
}

// take returns what was counted since the last call.
func (a *accounts) take() (teams, routes map[string]Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	teams, routes = a.teams, a.routes
	a.teams, a.routes = nil, nil
	return teams, routes
}

// log logs what was counted since the last such line.
func (a *accounts) log(l *eventlog.Log) {
	if teams, routes := a.take(); len(teams) > 0 {
		l.Event(AccountsEvent).Any("teams", teams).Any("routes", routes).Msg("")
	}
}
