package engine

import (
	"strings"
	"sync"
	"time"
)

// Account measures slot time by team, to the moment, over any number of
// engines. It is what the fairness of a fleet is judged by.
type Account struct {
	mu      sync.Mutex
	settled map[string]time.Duration
	running map[*stint]bool
	ended   int
}

// stint is one request's hold on a slot.
type stint struct {
	team  string
	since time.Time
}

// NewAccount returns an account of nothing.
func NewAccount() *Account {
	return &Account{settled: map[string]time.Duration{}, running: map[*stint]bool{}}
}

// begin notes that a request holds a slot; the result ends it.
func (a *Account) begin(nonce string) func() {
	if a == nil {
		return func() {}
	}
	team, _, _ := strings.Cut(nonce, "-")
	s := &stint{team: team, since: time.Now()}
	a.mu.Lock()
	a.running[s] = true
	a.mu.Unlock()
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.running, s)
		a.settled[s.team] += time.Since(s.since)
		a.ended++
	}
}

// Service returns the slot time of every team up to now, with what runs.
func (a *Account) Service(now time.Time) map[string]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]time.Duration, len(a.settled))
	for t, d := range a.settled {
		out[t] = d
	}
	for s := range a.running {
		out[s.team] += now.Sub(s.since)
	}
	return out
}

// Running returns how many requests of each team hold a slot.
func (a *Account) Running() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]int{}
	for s := range a.running {
		out[s.team]++
	}
	return out
}

// MeanCost returns the mean slot time of the requests that have ended.
func (a *Account) MeanCost() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum time.Duration
	for _, d := range a.settled {
		sum += d
	}
	return sum / time.Duration(max(a.ended, 1))
}
