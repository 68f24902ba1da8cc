package rollout

// Stage is how far a roll-out has come at a router, or in the fleet. It only rises.
type Stage uint8

// The stages of a roll-out.
const (
	Waiting Stage = iota // nothing goes to the target yet
	Trial                // a small part of each route's requests does
	Quarter
	Half
	All // nothing goes to the old versions any more
)

// String names the stage for logs.
func (s Stage) String() string {
	return [...]string{"waiting", "trial", "quarter", "half", "all"}[s]
}
