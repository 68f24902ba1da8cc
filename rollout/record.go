package rollout

import "time"

// Record holds what the routers keep in the store about a service's versions: the state that
// can't be recovered from elsewhere after all routers were lost.
type Record struct {
	Service string
	// Revision is the revision of the record's object.
	Revision uint64
	// InUse holds the versions that get requests, Rejected those that were rolled back.
	InUse    []string
	Rejected []string
	// Target, Made, Stage and Age describe the current rollout; Target is empty without one.
	Target string
	Made   string
	Stage  Stage
	Age    time.Duration // age of the order when the record was written
	Wall   time.Time     // time of day at which the record was written
}

// ageAt returns the age of the record's order at a time of day. Beyond a limit it is inexact: another writer's values may
// be any, and must not overflow.
func (r *Record) ageAt(wall time.Time, limit time.Duration) time.Duration {
	return min(r.Age, limit) + min(max(0, wall.Sub(r.Wall)), limit)
}
