// Package httpstatus checks the status codes of received responses. net/http accepts any three characters that
// parse as a number, such as 000 and +20.
package httpstatus

import "github.com/cockroachdb/errors"

// ErrInvalid is returned for a response whose status code HTTP does not allow. Whoever sent it, it says nothing
// about the request.
var ErrInvalid = errors.New("the response has a status code that HTTP does not allow")

// The range of status codes (RFC 9110, section 15).
const (
	lowest      = 100
	lowestFinal = 200
	highest     = 599
)

// Check returns ErrInvalid unless HTTP allows a status code.
func Check(code int) error {
	if code < lowest || code > highest {
		return errors.Wrapf(ErrInvalid, "status %d", code)
	}
	return nil
}

// CheckFinal returns ErrInvalid unless HTTP allows a status code for the last response to a request that asks for no
// other protocol. net/http returns 101 as such a one.
func CheckFinal(code int) error {
	if code < lowestFinal {
		return errors.Wrapf(ErrInvalid, "status %d", code)
	}
	return Check(code)
}
