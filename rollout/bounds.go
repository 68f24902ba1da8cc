package rollout

// Bounds are the most requests that a bad version may get before it is stopped. The zero
// value bounds nothing: roll-outs are off, and no gate is put in force.
type Bounds struct {
	// Share is a part, from 0 to 1, of all requests of the service from the order to the
	// deadline.
	Share float64
	// Slack is how many requests may come on top. It decides nothing: routers plan by Share
	// alone and leave the slack to what restarts and cut connections add. It is part of the
	// settings so that they state the whole bound.
	Slack float64
}

// Enabled tells whether roll-outs are on.
func (b Bounds) Enabled() bool { return b.Share > 0 }
