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
	age, agedAt time.Duration
	// recorded is the age that the record gives, for a router that begins after all others
	// have lost it; 0: not given, or used already.
	recorded     time.Duration
	seenAt       time.Duration // when this router first saw the order
	watched      time.Duration // time since seenAt in which this router ran
	stage        Stage
	raisedAt     time.Duration // age at which the stage was raised
	own          cells         // evidence of this router
	looked       cells         // own, at the last look
	others       Report        // merged, of the other routers
	heard        uint32        // how many others were heard at the last look
	mostHeard    uint32        // the greatest heard so far
	heardBad     uint32        // bad answers of the target at others, at the last look
	all          cells         // evidence of all, at the last tick
	judge        *Judge
	hold         hold
	suspected    bool // evidence speaks against the target, and does not decide yet
	rejected     bool // for good, by a leader: by the evidence, or for lack of time
	cause        string
	confirmed    bool          // to be completed
	watching     bool          // the trial has shown that the target is good
	oldRunning   uint32        // this router's requests at old servers
	asked        int           // requests that came to this router
	idle         bool          // nothing runs at old servers of any router
	idleSince    time.Duration // when idle became true
	serversThere bool          // servers of the target are listed
	serversGone  time.Duration // when serversThere became false
}

const (
	// mostOverdue bounds how far an age may be past the deadline: a greater age changes no
	// decision, and one that a wrong clock gave must not overflow.
	mostOverdue = time.Hour
	// hearFor is how long a router that sees an order for the first time waits for the age
	// that others report before it uses the record's. Reports come ten times a second, and
	// the record's age depends on the wall clocks of two hosts.
	hearFor = time.Second
	// idleFor is how long nothing must have run at old servers before they are stopped: a
	// request that was sent while the gate closed is reported by then.
	idleFor = time.Second
	// goneFor is how long a target may have no listed server in the last stage before it is
	// rejected: a list that was read incomplete is replaced by a whole one by then.
	goneFor = time.Second
)

func newRollout(o Order, now time.Duration) *rollout {
	return &rollout{
		order:  o,
		key:    o.Key(),
		plan:   newTimeline(o.Within),
		agedAt: now,
		seenAt: now,
		own:    cells{},
		all:    cells{},
		judge:  NewJudge(),
	}
}

// longestLook is the most that the time between two ticks counts as watched: a router that
// was stopped for longer saw nothing of what went on.
const longestLook = 3 * TickInterval

// pass lets time pass up to now.
func (r *rollout) pass(now time.Duration) {
	if now > r.agedAt {
		r.watched += min(now-r.agedAt, longestLook)
		r.age += now - r.agedAt
		r.agedAt = now
	}
	if r.recorded > 0 && now-r.seenAt >= hearFor {
		r.useRecorded(now - r.seenAt)
	}
}

// useRecorded takes the record's age, unless another router has told of a time before
// this one began.
func (r *rollout) useRecorded(watched time.Duration) {
	if r.age < watched+hearFor/2 {
		r.raiseAge(r.recorded + watched)
	}
	r.recorded = 0
}

func (r *rollout) raiseAge(age time.Duration) {
	r.age = max(r.age, min(age, r.order.Within+mostOverdue))
}

// hear takes in the merged report of all other routers.
func (r *rollout) hear(others Report, now time.Duration) {
	r.others = others
	r.pass(now)
	r.raiseAge(others.Age)
}

func (r *rollout) report() Report {
	return Report{
		Service:         r.order.Service,
		Order:           r.key,
		Routers:         1,
		MaxStage:        r.stage,
		MinAppliedStage: r.inForce(),
		Age:             r.age,
		OldRunning:      r.oldRunning,
		Rejected:        r.rejected,
		Demand:          r.ownDemand(),
		Cells:           r.own.list(),
	}
}

func (r *rollout) stopped() bool { return r.rejected || r.hold.on }

// inForce is the stage that this router's gate follows.
func (r *rollout) inForce() Stage {
	if r.stopped() {
		return Waiting
	}
	if r.suspected {
		return min(r.stage, Quarter)
	}
	return r.stage
}

// look judges the evidence of all routers.
func (r *rollout) look(now time.Duration) Verdict {
	r.all = cells{}
	r.all.add(r.own)
	r.all.add(cellsOf(r.others.Cells))
	r.heardBad = badOfTarget(r.others.Cells)
	if r.trusted {
		return Undecided
	}
	if r.regrouped() {
		known := cellsOf(r.others.Cells)
		known.add(r.looked)
		r.judge.skip(now, known)
	}
	r.looked = maps.Clone(r.own)
	return r.judge.look(now, r.all)
}

// hearsBad tells whether other routers have told of more bad answers of the target than at the last look.
func (r *rollout) hearsBad() bool { return badOfTarget(r.others.Cells) > r.heardBad }

// regrouped tells whether routers were lost, or came back, since the last look: the counts of
// one that comes back were judged before, and must not be judged again. Routers beyond the
// most that were heard together are new to this one, and so are all their counts.
func (r *rollout) regrouped() bool {
	n := r.others.Routers
	changed := n != r.heard && n <= r.mostHeard
	r.heard, r.mostHeard = n, max(r.mostHeard, n)
	return changed
}

// proven tells whether the target may get more than the trial's part.
func (r *rollout) proven(routers int) bool {
	if r.trusted {
		return true
	}
	verdict := r.judge.Verdict()
	return verdict == Good || verdict != Bad && r.quiet(routers)
}

// next returns the stage that follows, and whether it is due now.
func (r *rollout) next() (Stage, bool) {
	if r.stage == All || r.stopped() || !r.serversThere {
		return r.stage, false
	}
	if r.trusted {
		return All, true
	}
	if r.stage == Waiting {
		return Trial, true
	}
	next := r.stage + 1
	late := r.stage > Trial && r.age < r.raisedAt+r.plan.dwell
	return next, r.age >= r.plan.due(next) && !late
}

// settled tells whether nothing has run at old servers, for any router, for long enough.
func (r *rollout) settled(now time.Duration, routers int) bool {
	nothingRuns := r.oldRunning == 0 && r.others.OldRunning == 0
	if !nothingRuns || r.routers() < routers || !r.everywhere() {
		r.idle = false
		return false
	}
	if !r.idle {
		r.idle, r.idleSince = true, now
	}
	return now-r.idleSince >= idleFor
}

// everywhere tells whether all routers that are heard have the last stage in force.
func (r *rollout) everywhere() bool {
	return r.inForce() >= All && (r.others.Routers == 0 || r.others.MinAppliedStage >= All)
}

// routers counts those that are heard, this one included.
func (r *rollout) routers() int { return 1 + int(r.others.Routers) }

// reject closes the target for good, and tells whether it was open.
func (r *rollout) reject(cause string) bool {
	if r.rejected {
		return false
	}
	r.rejected, r.confirmed, r.cause = true, false, cause
	return true
}
