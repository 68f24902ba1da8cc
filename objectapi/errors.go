package objectapi

import "github.com/cockroachdb/errors"

// Errors of the client, for use with errors.Is.
var (
	// ErrNotFound means that the object does not exist, or that a watch timed
	// out without a change.
	ErrNotFound = errors.New("no such object on the platform")
	// ErrConflict means that the object is not at the expected version and
	// nothing was written. The caller should read it again before retrying.
	ErrConflict = errors.New("the object has changed on the platform; read it again before retrying")
	// ErrUnavailable means that the platform refused the call or could not be
	// reached, and that nothing was written.
	ErrUnavailable = errors.New("the platform is unavailable; the active configuration stays active, try again later")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("the platform's response to a write was lost; read the object back to find out whether the write took effect")
)
