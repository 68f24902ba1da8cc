package rollout

import (
	"maps"
	"time"
)

// roll is one roll-out under way, as one router sees it.
type roll struct {
	order Order
	key   uint64
	plan  timeline
	// trusted: the target is among the versions in use; it needs no trial.
	trusted bool
	// age is that of the order at agedAt, on this router's monotonic clock.
	age, agedAt time.Duration
	// recorded is the age by the record, of which nobody else may know any more.
	recorded     time.Duration
	seenAt       time.Duration
	watched      time.Duration // since then, less the times in which this router did not run
	stage        Stage
	raisedAt     time.Duration // age
	own          cells
	looked       cells // own, at the last look
	others       Report
	heard        uint32 // others, at the last look
	mostHeard    uint32
	all          cells
	judge        *Judge
	hold         hold
	rejected     bool // for good: by a leader's judgement, or the deadline
	cause        string
	confirmed    bool // to be completed
	oldRunning   uint32
	idleSince    time.Duration
	idle         bool
	serversGone  time.Duration
	serversThere bool
}

const (
	// mostOverdue bounds ages, past the deadline: a longer one tells no more, and one
	// that is false does not overflow.
	mostOverdue = time.Hour
	// hearFor is how long a router that has just begun listens for the age that others
	// know before it trusts the record's, which depends on two wall clocks.
	hearFor = time.Second
	// idleFor is how long nothing may run at old servers before they are stopped: a
	// request that was sent as the gate closed shows itself by then.
	idleFor = time.Second
	// goneFor is how long a target without servers is borne in the last stage: a list
	// that was read while a part of it was missing is mended by then.
	goneFor = time.Second
)

func newRoll(o Order, now time.Duration) *roll {
	return &roll{
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

// pass brings the age up to now.
func (r *roll) pass(now time.Duration) {
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
func (r *roll) useRecorded(watched time.Duration) {
	if r.age < watched+hearFor/2 {
		r.raiseAge(r.recorded + watched)
	}
	r.recorded = 0
}

func (r *roll) raiseAge(age time.Duration) {
	r.age = max(r.age, min(age, r.order.Within+mostOverdue))
}

// hear takes what all others tell.
func (r *roll) hear(others Report, now time.Duration) {
	r.others = others
	r.pass(now)
	r.raiseAge(others.Age)
}

func (r *roll) report() Report {
	return Report{
		Service:    r.order.Service,
		Order:      r.key,
		Routers:    1,
		Known:      r.stage,
		InForce:    r.inForce(),
		Age:        r.age,
		OldRunning: r.oldRunning,
		Rejected:   r.rejected,
		Cells:      r.own.list(),
	}
}

func (r *roll) stopped() bool { return r.rejected || r.hold.on }

func (r *roll) inForce() Stage {
	if r.stopped() {
		return Waiting
	}
	return r.stage
}

// look judges all evidence that there is.
func (r *roll) look(now time.Duration) Verdict {
	r.all = cells{}
	r.all.add(r.own)
	r.all.add(cellsOf(r.others.Cells))
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

// regrouped tells whether routers were lost, or came back, since the last look. What one
// that comes back had counted would be judged once more. Routers beyond the most that
// were heard together are new here, with all that they have counted.
func (r *roll) regrouped() bool {
	n := r.others.Routers
	changed := n != r.heard && n <= r.mostHeard
	r.heard, r.mostHeard = n, max(r.mostHeard, n)
	return changed
}

// quietRequests is how many requests, from now to the deadline, may go to a version on
// little or no evidence: half of the 50 bad answers that callers bear.
const quietRequests = 25

// quietAfter is how long a service has to be watched before it is called quiet.
const quietAfter = 2 * time.Second

// longestLook is the most that the time between two ticks counts as watched: a router
// that was stopped for longer saw nothing of what went on.
const longestLook = 3 * TickEvery

// quiet tells whether so little goes on that moving all of it exposes next to nobody.
// Without that, a service which nobody calls could never move. A router that doesn't hear
// all others can't tell.
func (r *roll) quiet(routers int) bool {
	if r.watched < quietAfter || int(r.others.Routers)+1 < routers {
		return false
	}
	fresh := r.all.total(true)
	if fresh.Bad > fresh.Good {
		return false
	}
	answers := fresh.answers() + r.all.total(false).answers()
	ahead := max(0, r.plan.end-r.age)
	return answers*float64(ahead) <= quietRequests*float64(r.watched)
}

// proven tells whether the target may get more than the trial's part.
func (r *roll) proven(routers int) bool {
	return r.trusted || r.judge.Verdict() == Good || r.judge.Verdict() != Bad && r.quiet(routers)
}

// next is the stage that is due, if nothing speaks against it.
func (r *roll) next() (Stage, bool) {
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

// settled tells whether nothing has run at old servers, anywhere, for long enough.
func (r *roll) settled(now time.Duration, routers int) bool {
	sum := Merge(r.report(), r.others)
	idle := int(sum.Routers) >= routers && sum.InForce >= All && sum.OldRunning == 0
	if !idle {
		r.idle = false
		return false
	}
	if !r.idle {
		r.idle, r.idleSince = true, now
	}
	return now-r.idleSince >= idleFor
}

// everywhere tells whether all who are heard have the last stage in force.
func (r *roll) everywhere() bool { return Merge(r.report(), r.others).InForce >= All }

func (r *roll) reject(cause string) bool {
	if r.rejected {
		return false
	}
	r.rejected, r.confirmed, r.cause = true, false, cause
	return true
}
