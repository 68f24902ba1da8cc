package sched

// openClaims is the range of open claims granted to a router: the sequence
// numbers from first up to but not including end. It counts how many were used.
type openClaims struct {
	first, end uint64
	used       int
}

// remaining returns the number of open claims that the router has not used.
func (o openClaims) remaining() int { return int(o.end-o.first) - o.used }

// has reports whether seq is in the range, used or not.
func (o openClaims) has(seq uint64) bool { return seq >= o.first && seq < o.end }
