package objectapi

import "github.com/cockroachdb/errors"

// Errors of the client; test for them with errors.Is.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object on the platform")
	// ErrConflict means that the object is not at the version that was given,
	// and nothing was written. Read it again and decide anew.
	ErrConflict = errors.New("the object has changed on the platform; read it again and decide anew")
	// ErrUnavailable means that the platform refused or could not be reached,
	// and nothing was written.
	ErrUnavailable = errors.New("the platform does not answer; what is in force stays in force, try again later")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("the platform's answer to a write was lost; read the object back to learn whether it took effect")
)
