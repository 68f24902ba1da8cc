package rollout

// Bounds are what a bad version may do before it is stopped.
type Bounds struct {
	// Share is the most that it may get of all requests of its service from the order to
	// the deadline, in parts of 1; Slack is how many requests may come on top. 0: nothing
	// is bounded, and roll-outs are not on.
	Share float64
	Slack float64
}

// On tells whether roll-outs are bounded, and with that on.
func (b Bounds) On() bool { return b.Share > 0 }
