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
	useWindow    = 3 * time.Second
	recentWindow = 500 * time.Millisecond
)

// rate is a decaying rate of tokens a second.
type rate struct {
	window time.Duration
	value  float64
	at     time.Duration
}

func (r *rate) decay(now time.Duration) float64 {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(r.window))
		r.at = now
	}
	return r.value
}

func (r *rate) add(now time.Duration, tokens float64) {
	r.decay(now)
	r.value += tokens / r.window.Seconds()
}

// take takes off tokens that were added some time ago.
func (r *rate) take(now time.Duration, tokens float64, ago time.Duration) {
	left := tokens * math.Exp(-float64(ago)/float64(r.window))
	r.value = max(r.decay(now)-left/r.window.Seconds(), 0)
}

// teamUse is what a router knows of a team's tokens.
type teamUse struct {
	offered   rate
	recent    rate // offered, most recently
	entered   rate // offered, less what was refused before its body was read
	served    rate
	regions   Regions       // that the configuration binds it to
	group     *teamGroup    // of the teams bound like it; nil: it may use all regions
	allowance allowance     // of this router
	others    loads.TeamUse // sum over the other routers
}

func newTeamUse() *teamUse {
	return &teamUse{
		offered: rate{window: useWindow}, recent: rate{window: recentWindow},
		entered: rate{window: useWindow}, served: rate{window: useWindow},
	}
}

// part returns how much of what a team asks for now is asked of this router.
func (u *teamUse) part(now time.Duration) float64 {
	own := u.recent.decay(now)
	if own <= 0 {
		return 0
	}
	return own / (own + float64(u.others.Recent))
}

func (u *teamUse) servedRate(now time.Duration) float64 {
	return u.served.decay(now) + float64(u.others.Served)
}

func (u *teamUse) offeredRate(now time.Duration) float64 {
	return u.offered.decay(now) + float64(u.others.Offered)
}

// waterLevel returns the most that a team may get when capacity is shared so
// that the smallest demands are met first.
func waterLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	left := capacity
	for i, d := range demands {
		even := left / float64(len(demands)-i)
		if d > even {
			return even
		}
		left -= d
	}
	return math.Inf(1)
}

// tokenCost is what a request takes of the engines: a token made counts twice.
func tokenCost(prompt, output int) float64 { return float64(prompt) + 2*float64(output) }
