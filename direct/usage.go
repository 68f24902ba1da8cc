package direct

import (
	"math"
	"slices"
	"time"

	"github.com/croftvale/croftvale/loads"
)

// The times over which a team's tokens are averaged: all of them, and what it
// asked for most recently, which tells where its callers are now.
const (
	usageWindow  = 3 * time.Second
	recentWindow = 500 * time.Millisecond
)

// decayingRate is a decaying rate of tokens a second.
type decayingRate struct {
	window time.Duration
	value  float64
	at     time.Duration
}

func (r *decayingRate) decay(now time.Duration) float64 {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(r.window))
		r.at = now
	}
	return r.value
}

func (r *decayingRate) add(now time.Duration, tokens float64) {
	r.decay(now)
	r.value += tokens / r.window.Seconds()
}

// subtract takes off tokens that were added some time ago.
func (r *decayingRate) subtract(now time.Duration, tokens float64, ago time.Duration) {
	remaining := tokens * math.Exp(-float64(ago)/float64(r.window))
	r.value = max(r.decay(now)-remaining/r.window.Seconds(), 0)
}

// teamUsage is what a router knows of a team's tokens.
type teamUsage struct {
	offered     decayingRate
	recent      decayingRate // offered, most recently
	admitted    decayingRate // offered, less what was refused before its body was read
	served      decayingRate
	regions     Regions       // that the configuration binds it to
	group       *teamGroup    // of the teams bound like it; nil: it may use all regions
	tokenBucket tokenBucket   // of this router
	peers       loads.TeamUse // sum over the other routers
}

func newTeamUsage() *teamUsage {
	return &teamUsage{
		offered: decayingRate{window: usageWindow}, recent: decayingRate{window: recentWindow},
		admitted: decayingRate{window: usageWindow}, served: decayingRate{window: usageWindow},
	}
}

// localFraction returns how much of what a team asks for now is asked of this router.
func (u *teamUsage) localFraction(now time.Duration) float64 {
	own := u.recent.decay(now)
	if own <= 0 {
		return 0
	}
	return own / (own + float64(u.peers.Recent))
}

func (u *teamUsage) servedRate(now time.Duration) float64 {
	return u.served.decay(now) + float64(u.peers.Served)
}

func (u *teamUsage) offeredRate(now time.Duration) float64 {
	return u.offered.decay(now) + float64(u.peers.Offered)
}

// waterLevel returns the most that a team may get when capacity is shared so
// that the smallest demands are met first.
func waterLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	remaining := capacity
	for i, d := range demands {
		equalShare := remaining / float64(len(demands)-i)
		if d > equalShare {
			return equalShare
		}
		remaining -= d
	}
	return math.Inf(1)
}

// tokenCost is what a request takes of the engines: a token made counts twice.
func tokenCost(prompt, output int) float64 { return float64(prompt) + 2*float64(output) }
