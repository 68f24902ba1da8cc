package sched

// openClaims is the open claims that a router holds: the numbers from first to
// before end, less those that were used.
type openClaims struct {
	first, end uint64
	used       int
}

// remaining returns how many the router has not used.
func (o openClaims) remaining() int { return int(o.end-o.first) - o.used }

// has tells whether a number is one of them.
func (o openClaims) has(seq uint64) bool { return seq >= o.first && seq < o.end }
