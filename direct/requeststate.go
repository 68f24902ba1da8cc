package direct

import (
	"slices"
	"time"
)

// requestState is a request that the machine knows.
type requestState struct {
	Request
	arrivedAt      time.Duration
	waitUntil      time.Duration
	waiting        bool
	attempt        int // attempts that reached a server
	unsentAttempts int
	mayHaveRun     bool // an attempt may have run
	triedServers   []string
	currentServer  *server
	sentAt         time.Duration
	pendingTokens  int // tokens that the server has yet to read for it
	tokensAhead    int // tokens to be read up to its first event, when it was sent
	started        bool
	firstEventAt   time.Duration // when the first event of this attempt came; 0: it has not
	charged        bool          // counted for its team
	shareRatio     float64       // what its team gets, in shares of what is configured
	placement      placement
	observed       observation
	late           bool    // its caller has asked before, too long ago for its objective
	throttled      bool    // this router has given its team all that it may
	teamServedRate float64 // rate of its team, for the order of the queue
}

// cost is what the request takes of the engines, in tokens.
func (r *requestState) cost() float64 { return tokenCost(r.PromptTokens, r.OutputTokens) }

func (r *requestState) hasTried(id string) bool { return slices.Contains(r.triedServers, id) }
