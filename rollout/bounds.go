package rollout

// Bounds limit how many requests a bad version may get before it is stopped. The zero value
// disables rollouts: no gate is applied.
type Bounds struct {
	// Share is the allowed fraction, from 0 to 1, of all requests of the service between the
	// order and its deadline.
	Share float64
	// Slack is the allowed number of requests on top of Share. No decision depends on it:
	// routers plan with Share alone and leave the slack for the effects of restarts and
	// network partitions. It is part of the settings so that they state the whole bound.
	Slack float64
}

// Enabled reports whether rollouts are enabled.
func (b Bounds) Enabled() bool { return b.Share > 0 }
