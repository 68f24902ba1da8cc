package rollout

import (
	"maps"
	"time"
)

// rollout is one router's view of a running rollout. Ages are times since the order was made;
// other times are on this router's monotonic clock.
type rollout struct {
	order    Order
	orderKey uint64
	plan     timeline
	// trusted is set if the target is among the versions in use: it needs no trial.
	trusted bool
	// age is the order's age at ageUpdatedAt.
	age, ageUpdatedAt time.Duration
	// recordedAge is the age from the record, for a router that starts after all routers with the
	// age were lost; 0 if there is none or it was already applied.
	recordedAge   time.Duration
	firstSeenAt   time.Duration // when this router first received the order
	observed      time.Duration // time since firstSeenAt in which this router was running
	stage         Stage
	raisedAtAge   time.Duration // age at which the stage was last raised
	own           cells         // evidence of this router
	evaluatedOwn  cells         // own, at the last evaluation
	peers         Report        // merged reports of the other routers
	peerCount     uint32        // number of other routers in peers at the last evaluation
	maxPeerCount  uint32        // largest peerCount so far
	peerBad       uint32        // bad responses of the target in peers at the last evaluation
	all           cells         // evidence of all routers, at the last evaluation
	judge         *Judge
	hold          hold
	suspected     bool          // evidence against the target, not enough to reject it
	rejected      bool          // rejected by a leader, permanently
	cause         string        // cause of the rejection
	confirmed     bool          // the rollout is to be completed
	trialPassed   bool          // the trial has shown that the target is good
	oldRunning    uint32        // this router's requests running on old servers
	requests      int           // requests that this router received
	oldIdle       bool          // no router has requests running on old servers
	oldIdleSince  time.Duration // when oldIdle became true
	hasServers    bool          // the server list contains servers of the target
	serversLostAt time.Duration // when hasServers became false
}

const (
	// maxOverdue limits how far an age may exceed the deadline. A greater age changes no
	// decision, and the age computed from a wrong clock must not overflow.
	maxOverdue = time.Hour
	// peerAgeWait is how long a router that sees an order for the first time waits for the age
	// in its peers' reports before it uses the record's. Reports arrive ten times a second, and
	// the record's age depends on the wall clocks of two hosts.
	peerAgeWait = time.Second
	// minOldIdle is how long old servers must have been idle before they are stopped: a request
	// that was sent while the gate closed is reported within this time.
	minOldIdle = time.Second
	// missingServersTimeout is how long the target may have no listed server in the last stage
	// before it is rejected: an incomplete list is replaced by a complete one within this time.
	missingServersTimeout = time.Second
)

func newRollout(o Order, now time.Duration) *rollout {
	return &rollout{
		order:        o,
		orderKey:     o.Key(),
		plan:         newTimeline(o.Within),
		ageUpdatedAt: now,
		firstSeenAt:  now,
		own:          cells{},
		all:          cells{},
		judge:        NewJudge(),
	}
}

// maxObservedGap limits the time between two ticks that counts as observed: a router that was
// paused for longer missed what happened meanwhile.
const maxObservedGap = 3 * TickInterval

// advanceClock advances the rollout's age to now.
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

// applyRecordedAge uses the record's age, unless a peer has reported an age greater than the
// time for which this router has observed the order.
func (r *rollout) applyRecordedAge(observed time.Duration) {
	if r.age < observed+peerAgeWait/2 {
		r.raiseAge(r.recordedAge + observed)
	}
	r.recordedAge = 0
}

// raiseAge raises the age to the given one, up to maxOverdue after the deadline.
func (r *rollout) raiseAge(age time.Duration) {
	r.age = max(r.age, min(age, r.order.Within+maxOverdue))
}

// updatePeers sets the merged report of all other routers.
func (r *rollout) updatePeers(peers Report, now time.Duration) {
	r.peers = peers
	r.advanceClock(now)
	r.raiseAge(peers.Age)
}

func (r *rollout) report() Report {
	return Report{
		Service:         r.order.Service,
		Order:           r.orderKey,
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

// appliedStage returns the stage that this router's gate applies.
func (r *rollout) appliedStage() Stage {
	if r.stopped() {
		return Waiting
	}
	if r.suspected {
		return min(r.stage, Quarter)
	}
	return r.stage
}

// evaluate evaluates the evidence of all routers.
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
		counts.add(r.evaluatedOwn)
		r.judge.skip(now, counts)
	}
	r.evaluatedOwn = maps.Clone(r.own)
	return r.judge.evaluate(now, r.all)
}

// peersReportMoreBad reports whether peers have counted more bad responses of the target than
// at the last evaluation.
func (r *rollout) peersReportMoreBad() bool { return targetBad(r.peers.Cells) > r.peerBad }

// peersChanged reports whether routers were lost or returned since the last evaluation. The
// counts of a returning router were evaluated before and must not be evaluated again. Routers
// beyond the largest number seen so far are new, and all their counts are evaluated.
func (r *rollout) peersChanged() bool {
	n := r.peers.Routers
	changed := n != r.peerCount && n <= r.maxPeerCount
	r.peerCount, r.maxPeerCount = n, max(r.maxPeerCount, n)
	return changed
}

// mayRamp reports whether the target may get more than the trial's fraction.
func (r *rollout) mayRamp(routers int) bool {
	if r.trusted {
		return true
	}
	verdict := r.judge.Verdict()
	return verdict == Good || verdict != Bad && r.lowTraffic(routers)
}

// nextStage returns the stage that follows, and whether it is due now.
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
	tooSoon := r.stage > Trial && r.age < r.raisedAtAge+r.plan.minStepInterval
	return next, r.age >= r.plan.stageAt(next) && !tooSoon
}

// oldDrained reports whether the old servers of all routers have been idle for long enough.
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

// allInLastStage reports whether all routers with a current report apply the last stage.
func (r *rollout) allInLastStage() bool {
	return r.appliedStage() >= All && (r.peers.Routers == 0 || r.peers.MinAppliedStage >= All)
}

// routerCount returns the number of routers with a current report, including this one.
func (r *rollout) routerCount() int { return 1 + int(r.peers.Routers) }

// reject rejects the target permanently, and reports whether it was not yet rejected.
func (r *rollout) reject(cause string) bool {
	if r.rejected {
		return false
	}
	r.rejected, r.confirmed, r.cause = true, false, cause
	return true
}
