// Package retryafter reads from the Retry-After header of a refusal how long a server asks its
// client to send no more requests.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const header = "Retry-After"

// maxDelay limits the result of Read, so that sums of times don't overflow a time.Duration. No
// server runs that long.
const maxDelay = 1000 * time.Hour

// ErrInvalid means that a Retry-After header is neither a number of seconds nor a date in a
// response with a Date header.
var ErrInvalid = errors.New("Retry-After is neither a number of seconds nor a date in a response with a Date header")

// Read returns how long a server asks its client to send no more requests, from the status and
// headers of a response. It returns 0 if the server does not ask. Fractions of a second count.
// A date is relative to the Date header of the response, since clocks of hosts differ.
func Read(status int, h http.Header) (time.Duration, error) {
	value := h.Get(header)
	if value == "" || !appliesToAllRequests(status) {
		return 0, nil
	}
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		return fromSeconds(value, seconds)
	}
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, errors.Wrapf(ErrInvalid, "%q", value)
	}
	from, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0, errors.Wrapf(ErrInvalid, "%q", value)
	}
	return max(until.Sub(from), 0), nil
}

// appliesToAllRequests reports whether Retry-After in a response with this status applies to all
// requests of the client. It does with 503, and also with 429 if the client sends requests for
// many callers. With other statuses the header has another meaning.
func appliesToAllRequests(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func fromSeconds(value string, seconds float64) (time.Duration, error) {
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Wrapf(ErrInvalid, "%q", value)
	}
	return time.Duration(min(seconds, maxDelay.Seconds()) * float64(time.Second)), nil
}
