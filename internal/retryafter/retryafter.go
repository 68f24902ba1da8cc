// Package retryafter reads how long a server that turns a request away wants to get no
// others.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const header = "Retry-After"

// maxDelay keeps sums of times within a time.Duration; no server lives so long.
const maxDelay = 1000 * time.Hour

// ErrInvalid means that a Retry-After is neither a number of seconds nor a date.
var ErrInvalid = errors.New("Retry-After is neither a number of seconds nor a date beside a Date")

// Read returns for how long a server wants nothing more from who sent a request, by its
// answer's status and headers; 0: it doesn't say. Fractions of seconds count. A date counts
// from the answer's own Date, since clocks of hosts differ.
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

// appliesToAllRequests tells whether an answer of a status speaks of all requests of who sent one: a
// 503 does, and so does a 429 for one who sends for many callers. With other statuses the
// header has another meaning.
func appliesToAllRequests(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func fromSeconds(value string, seconds float64) (time.Duration, error) {
	if math.IsNaN(seconds) || seconds < 0 {
		return 0, errors.Wrapf(ErrInvalid, "%q", value)
	}
	return time.Duration(min(seconds, maxDelay.Seconds()) * float64(time.Second)), nil
}
