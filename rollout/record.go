package rollout

import "time"

// Record is what the routers keep in the store about a service's versions: what a fleet of
// which all routers were lost can't find out anew.
type Record struct {
	Service string
	// Revision is that of the record's object.
	Revision uint64
	// InUse are the versions that get requests, Rejected those that were rolled back.
	InUse    []string
	Rejected []string
	// Target, Made, Stage and Age are of the roll-out under way; an empty Target: none is.
	Target string
	Made   string
	Stage  Stage
	Age    time.Duration // of the order, when the record was written
	Wall   time.Time     // when it was written
}
