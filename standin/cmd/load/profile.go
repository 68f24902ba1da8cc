package main

import "time"

// The works of every profile.
const (
	workReport   = "report"   // all engines
	workQuestion = "question" // half of the engines
	workPages    = "pages"    // the app servers; calls may not be repeated
)

// teamProfile is how one team asks.
type teamProfile struct {
	name    string
	share   float64
	callers int           // at once; the team is backlogged where there are many
	rest    time.Duration // mean time between a caller's requests, 0 for none
	work    string
	urgent  float64 // part of its requests that is urgent
	batch   float64 // part of its requests that is batch
}

func (t teamProfile) backlogged() bool { return t.rest == 0 }

// profile is one operator's fleet and load.
type profile struct {
	halls   int
	routers int
	engines int
	apps    int
	slots   int
	step    time.Duration
	oneWay  time.Duration
	minCost int // tokens
	maxCost int // tokens
	teams   []teamProfile
}

// backlogged returns the teams that always have work waiting.
func (p profile) backlogged() []teamProfile {
	var out []teamProfile
	for _, t := range p.teams {
		if t.backlogged() {
			out = append(out, t)
		}
	}
	return out
}

// profiles holds the sizes that the users give. Five of ten teams are always
// backlogged, one of them floods, and two can be served by half of the engines
// only. Shares have a mean near 1.
var profiles = map[string]profile{
	"gradinfeld": {
		halls: 3, routers: 6, engines: 12, apps: 3, slots: 8,
		step: 5 * time.Millisecond, oneWay: 1500 * time.Microsecond,
		minCost: 20, maxCost: 800,
		teams: []teamProfile{
			{name: "flood", share: 1, callers: 240, work: workReport, batch: 0.5},
			{name: "league", share: 2, callers: 120, work: workReport, urgent: 0.1, batch: 0.3},
			{name: "derby", share: 1, callers: 80, work: workQuestion},
			{name: "cup", share: 0.5, callers: 60, work: workReport, urgent: 0.2},
			{name: "squad", share: 1, callers: 80, work: workQuestion, batch: 0.5},
			{name: "bench", share: 1, callers: 1, rest: 100 * time.Millisecond, work: workReport, urgent: 0.5},
			{name: "goal", share: 1, callers: 2, rest: 200 * time.Millisecond, work: workReport, urgent: 1},
			{name: "keeper", share: 0.5, callers: 1, rest: 500 * time.Millisecond, work: workQuestion},
			{name: "wing", share: 1, callers: 1, rest: time.Second, work: workReport, urgent: 0.5},
			{name: "tags", share: 1, callers: 4, rest: 100 * time.Millisecond, work: workPages},
		},
	},
	"bouwuren": {
		halls: 3, routers: 6, engines: 9, apps: 3, slots: 8,
		step: 5 * time.Millisecond, oneWay: 1500 * time.Microsecond,
		minCost: 20, maxCost: 800,
		teams: []teamProfile{
			{name: "flood", share: 1, callers: 200, work: workReport, batch: 0.8},
			{name: "payroll", share: 2, callers: 100, work: workReport, batch: 1},
			{name: "north", share: 1, callers: 70, work: workQuestion},
			{name: "yard", share: 0.5, callers: 50, work: workReport, urgent: 0.2},
			{name: "south", share: 1, callers: 70, work: workQuestion, batch: 0.5},
			{name: "foreman", share: 1, callers: 1, rest: 100 * time.Millisecond, work: workReport},
			{name: "crane", share: 1, callers: 2, rest: 200 * time.Millisecond, work: workReport, urgent: 1},
			{name: "roof", share: 0.5, callers: 1, rest: 500 * time.Millisecond, work: workQuestion},
			{name: "checks", share: 1, callers: 1, rest: time.Second, work: workReport},
			{name: "gate", share: 1, callers: 6, rest: 50 * time.Millisecond, work: workPages, urgent: 1},
		},
	},
}
