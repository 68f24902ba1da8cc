package direct

import (
	"math"
	"slices"
	"time"

	"github.com/croftvale/croftvale/loads"
)

// The time constants of a team's decaying rates: of all its tokens, and of its most recent
// demand, which shows where its callers are now.
const (
	usageWindow  = 3 * time.Second
	recentWindow = 500 * time.Millisecond
)

// decayingRate is an exponentially decaying rate, in tokens per second.
type decayingRate struct {
	window time.Duration
	value  float64
	at     time.Duration
}

// decay applies the decay since the last update and returns the current rate.
func (r *decayingRate) decay(now time.Duration) float64 {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(r.window))
		r.at = now
	}
	return r.value
}

// add adds tokens at the given time.
func (r *decayingRate) add(now time.Duration, tokens float64) {
	r.decay(now)
	r.value += tokens / r.window.Seconds()
}

// subtract removes tokens that were added the given time ago.
func (r *decayingRate) subtract(now time.Duration, tokens float64, ago time.Duration) {
	remaining := tokens * math.Exp(-float64(ago)/float64(r.window))
	r.value = max(r.decay(now)-remaining/r.window.Seconds(), 0)
}

// teamUsage is a team's demand and use, in tokens.
type teamUsage struct {
	offered     decayingRate
	recent      decayingRate // demand over the shorter window
	admitted    decayingRate // demand without requests refused before their body was read
	served      decayingRate
	regions     Regions       // that the configuration restricts it to
	group       *teamGroup    // of the teams with the same regions; nil: unrestricted
	tokenBucket tokenBucket   // of this router
	peers       loads.TeamUse // sum over the other routers
}

func newTeamUsage() *teamUsage {
	return &teamUsage{
		offered: decayingRate{window: usageWindow}, recent: decayingRate{window: recentWindow},
		admitted: decayingRate{window: usageWindow}, served: decayingRate{window: usageWindow},
	}
}

// localFraction returns the fraction of a team's recent demand that arrives at this router.
func (u *teamUsage) localFraction(now time.Duration) float64 {
	own := u.recent.decay(now)
	if own <= 0 {
		return 0
	}
	return own / (own + float64(u.peers.Recent))
}

// servedRate returns the rate at which all routers serve a team.
func (u *teamUsage) servedRate(now time.Duration) float64 {
	return u.served.decay(now) + float64(u.peers.Served)
}

// offeredRate returns a team's demand at all routers.
func (u *teamUsage) offeredRate(now time.Duration) float64 {
	return u.offered.decay(now) + float64(u.peers.Offered)
}

// waterLevel returns the level of a max-min fair division: no team gets more than the level,
// and smaller demands are met in full. It is infinite if the capacity covers all demands.
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

// tokenCost returns the cost of a request for the engines, in tokens: an output token counts
// twice.
func tokenCost(prompt, output int) float64 { return float64(prompt) + 2*float64(output) }
