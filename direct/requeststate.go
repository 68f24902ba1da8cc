package direct

import (
	"slices"
	"time"
)

// requestState is a request that waits or runs, with the machine's state of it.
type requestState struct {
	Request
	arrivedAt      time.Duration
	waitUntil      time.Duration
	waiting        bool
	attempt        int // attempts that reached a server
	unsentAttempts int
	mayHaveRun     bool // an attempt may have run
	triedServers   []string
	countedVisit   bool     // the last send counts as an attempt
	spareServers   []string // at which a backup was canceled
	currentServer  *server
	incarnation    Incarnation   // of currentServer that this attempt's connection leads to
	backupOf       *requestState // the request that this attempt backs up; nil: it is the request itself
	sentAt         time.Duration
	pendingTokens  int           // that the server has yet to read for it
	tokensAhead    int           // that the server had to read before its first event, when it was sent
	started        bool          // an attempt has had its first event
	firstEventAt   time.Duration // when the first event of this attempt came; 0: it has not
	charged        bool          // counted in its team's use
	shareRatio     float64       // its team's rate as a fraction of the configured share
	placement      placement
	observed       observation
	late           bool    // repeated by its caller so late that it can hardly meet its objective; no resumed stream
	survived       bool    // this attempt was recorded as surviving, see checkSurvivors
	cleared        bool    // this attempt was recorded as clearing its parts
	aborted        bool    // its attempt is being aborted, as a part of its prompt was barred
	trial          bool    // sent although parts of it are barred
	throttled      bool    // its team's token bucket has nothing for it
	teamServedRate float64 // its team's rate, for the order of the queue
}

// cost returns the cost of the request for the engines, in tokens.
func (r *requestState) cost() float64 { return tokenCost(r.PromptTokens, r.OutputTokens) }

// isFirstTry reports whether no server has worked on the request, or on the stream that it resumes.
func (r *requestState) isFirstTry() bool { return r.attempt == 0 && !r.Resumed }

// beginsResumableStream reports whether the request begins a stream that other servers of the same
// version can continue.
func (r *requestState) beginsResumableStream() bool {
	return r.Kind == Stream && r.MayRepeat && r.Version == ""
}

func (r *requestState) hasTried(id string) bool { return slices.Contains(r.triedServers, id) }
