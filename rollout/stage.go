package rollout

// Stage is the progress of a rollout, at one router or in the fleet. It never decreases.
type Stage uint8

// The stages of a rollout.
const (
	Waiting Stage = iota // the target gets no requests yet
	Trial                // canary: the target gets a small fraction of each route's requests
	Quarter
	Half
	All // the old versions get no new requests
)

// String returns the name of the stage for logs.
func (s Stage) String() string {
	return [...]string{"waiting", "trial", "quarter", "half", "all"}[s]
}
