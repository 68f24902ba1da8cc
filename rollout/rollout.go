package rollout

import (
	"maps"
	"time"
)

// rollout is one roll-out under way, as one router sees it. Ages are times since the order was
// made; other times are on this router's monotonic clock.
type rollout struct {
	order Order
	key   uint64
	plan  timeline
	// trusted: the target is among the versions in use; it needs no trial.
	trusted bool
	// age is the order's age at agedAt.
	age, ageUpdatedAt time.Duration
	// recorded is the age that the record gives, for a router that begins after all others
	// have lost it; 0: not given, or used already.
	recordedAge   time.Duration
	firstSeenAt   time.Duration // when this router first saw the order
	observed      time.Duration // time since seenAt in which this router ran
	stage         Stage
	raisedAtAge   time.Duration // age at which the stage was raised
	own           cells         // evidence of this router
	evaluated     cells         // own, at the last look
	peers         Report        // merged, of the other routers
	peerCount     uint32        // how many others were heard at the last look
	maxPeerCount  uint32        // the greatest heard so far
	peerBad       uint32        // bad answers of the target at others, at the last look
	all           cells         // evidence of all, at the last tick
	judge         *Judge
	hold          hold
	suspected     bool // evidence speaks against the target, and does not decide yet
	rejected      bool // for good, by a leader: by the evidence, or for lack of time
	cause         string
	confirmed     bool          // to be completed
	trialPassed   bool          // the trial has shown that the target is good
	oldRunning    uint32        // this router's requests at old servers
	requests      int           // requests that came to this router
	oldIdle       bool          // nothing runs at old servers of any router
	oldIdleSince  time.Duration // when idle became true
	hasServers    bool          // servers of the target are listed
	serversLostAt time.Duration // when serversThere became false
}

const (
	// mostOverdue bounds how far an age may be past the deadline: a greater age changes no
	// decision, and one that a wrong clock gave must not overflow.
	maxOverdue = time.Hour
	// hearFor is how long a router that sees an order for the first time waits for the age
	// that others report before it uses the record's. Reports come ten times a second, and
	// the record's age depends on the wall clocks of two hosts.
	peerAgeWait = time.Second
	// idleFor is how long nothing must have run at old servers before they are stopped: a
	// request that was sent while the gate closed is reported by then.
	minOldIdle = time.Second
	// goneFor is how long a target may have no listed server in the last stage before it is
	// rejected: a list that was read incomplete is replaced by a whole one by then.
	missingServersTimeout = time.Second
)

func newRollout(o Order, now time.Duration) *rollout {
	return &rollout{
		order:        o,
		key:          o.Key(),
		plan:         newTimeline(o.Within),
		ageUpdatedAt: now,
		firstSeenAt:  now,
		own:          cells{},
		all:          cells{},
		judge:        NewJudge(),
	}
}

// longestLook is the most that the time between two ticks counts as watched: a router that
// was stopped for longer saw nothing of what went on.
const maxObservedGap = 3 * TickInterval

// pass lets time pass up to now.
func (r *rollout) advanceClock(now time.Duration) {
	if now > r.ageUpdatedAt {
		r.observed += min(now-r.ageUpdatedAt, maxObservedGap)
		r.age += now - r.ageUpdatedAt
		r.ageUpdatedAt = now
	}
	if r.recordedAge > 0 && now-r.firstSeenAt >= peerAgeWait {
		r.applyRecordedAge(now - r.firstSeenAt)
	}
}

// useRecorded takes the record's age, unless another router has told of a time before
// this one began.
func (r *rollout) applyRecordedAge(watched time.Duration) {
	if r.age < watched+peerAgeWait/2 {
		r.raiseAge(r.recordedAge + watched)
	}
	r.recordedAge = 0
}

func (r *rollout) raiseAge(age time.Duration) {
	r.age = max(r.age, min(age, r.order.Within+maxOverdue))
}

// hear takes in the merged report of all other routers.
func (r *rollout) updatePeers(others Report, now time.Duration) {
	r.peers = others
	r.advanceClock(now)
	r.raiseAge(others.Age)
}

func (r *rollout) report() Report {
	return Report{
		Service:         r.order.Service,
		Order:           r.key,
		Routers:         1,
		MaxStage:        r.stage,
		MinAppliedStage: r.appliedStage(),
		Age:             r.age,
		OldRunning:      r.oldRunning,
		Rejected:        r.rejected,
		Demand:          r.ownDemand(),
		Cells:           r.own.list(),
	}
}

func (r *rollout) stopped() bool { return r.rejected || r.hold.active }

// inForce is the stage that this router's gate follows.
func (r *rollout) appliedStage() Stage {
	if r.stopped() {
		return Waiting
	}
	if r.suspected {
		return min(r.stage, Quarter)
	}
	return r.stage
}

// look judges the evidence of all routers.
func (r *rollout) evaluate(now time.Duration) Verdict {
	r.all = cells{}
	r.all.add(r.own)
	r.all.add(cellsOf(r.peers.Cells))
	r.peerBad = targetBad(r.peers.Cells)
	if r.trusted {
		return Undecided
	}
	if r.peersChanged() {
		counts := cellsOf(r.peers.Cells)
		counts.add(r.evaluated)
		r.judge.skip(now, counts)
	}
	r.evaluated = maps.Clone(r.own)
	return r.judge.evaluate(now, r.all)
}

// hearsBad tells whether other routers have told of more bad answers of the target than at the last look.
func (r *rollout) peersReportMoreBad() bool { return targetBad(r.peers.Cells) > r.peerBad }

// regrouped tells whether routers were lost, or came back, since the last look: the counts of
// one that comes back were judged before, and must not be judged again. Routers beyond the
// most that were heard together are new to this one, and so are all their counts.
func (r *rollout) peersChanged() bool {
	n := r.peers.Routers
	changed := n != r.peerCount && n <= r.maxPeerCount
	r.peerCount, r.maxPeerCount = n, max(r.maxPeerCount, n)
	return changed
}

// proven tells whether the target may get more than the trial's part.
func (r *rollout) mayRamp(routers int) bool {
	if r.trusted {
		return true
	}
	verdict := r.judge.Verdict()
	return verdict == Good || verdict != Bad && r.lowTraffic(routers)
}

// next returns the stage that follows, and whether it is due now.
func (r *rollout) nextStage() (Stage, bool) {
	if r.stage == All || r.stopped() || !r.hasServers {
		return r.stage, false
	}
	if r.trusted {
		return All, true
	}
	if r.stage == Waiting {
		return Trial, true
	}
	next := r.stage + 1
	late := r.stage > Trial && r.age < r.raisedAtAge+r.plan.minStepInterval
	return next, r.age >= r.plan.stageAt(next) && !late
}

// settled tells whether nothing has run at old servers, for any router, for long enough.
func (r *rollout) oldDrained(now time.Duration, routers int) bool {
	nothingRuns := r.oldRunning == 0 && r.peers.OldRunning == 0
	if !nothingRuns || r.routerCount() < routers || !r.allInLastStage() {
		r.oldIdle = false
		return false
	}
	if !r.oldIdle {
		r.oldIdle, r.oldIdleSince = true, now
	}
	return now-r.oldIdleSince >= minOldIdle
}

// everywhere tells whether all routers that are heard have the last stage in force.
func (r *rollout) allInLastStage() bool {
	return r.appliedStage() >= All && (r.peers.Routers == 0 || r.peers.MinAppliedStage >= All)
}

// routers counts those that are heard, this one included.
func (r *rollout) routerCount() int { return 1 + int(r.peers.Routers) }

// reject closes the target for good, and tells whether it was open.
func (r *rollout) reject(cause string) bool {
	if r.rejected {
		return false
	}
	r.rejected, r.confirmed, r.cause = true, false, cause
	return true
}
