package rollout

// Options are the settings of a Machine.
type Options struct {
	// Share bounds what a bad version may receive, in parts of all requests of the
	// service; 0: nothing of this is on, and no gate is put in force.
	Share float64
	// Slack is what it may receive beyond that, by count. Nothing is sent in advance on
	// the strength of it: it is for what restarts and cuts add.
	Slack int
}
