package retryafter

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRead(t *testing.T) {
	const date = "Fri, 07 Aug 2026 10:00:00 GMT"
	for name, c := range map[string]struct {
		status  int
		value   string
		date    string
		want    time.Duration
		invalid bool
	}{
		"nothing":                 {status: 503},
		"seconds":                 {status: 503, value: "3", want: 3 * time.Second},
		"fraction of a second":    {status: 503, value: "0.25", want: 250 * time.Millisecond},
		"none":                    {status: 503, value: "0"},
		"too many requests":       {status: 429, value: "2", want: 2 * time.Second},
		"another status":          {status: 500, value: "3"},
		"a redirection":           {status: 301, value: "3"},
		"infinite time":           {status: 503, value: "+Inf", want: maxDelay},
		"a date":                  {status: 503, value: "Fri, 07 Aug 2026 10:00:04 GMT", date: date, want: 4 * time.Second},
		"a past date":             {status: 503, value: date, date: "Fri, 07 Aug 2026 10:00:04 GMT"},
		"a date without Date":     {status: 503, value: date, invalid: true},
		"negative seconds":        {status: 503, value: "-3", invalid: true},
		"not a number":            {status: 503, value: "NaN", invalid: true},
		"neither number nor date": {status: 503, value: "soon", invalid: true},
	} {
		h := http.Header{}
		if c.value != "" {
			h.Set("Retry-After", c.value)
		}
		if c.date != "" {
			h.Set("Date", c.date)
		}
		got, err := Read(c.status, h)
		require.Equal(t, c.want, got, name)
		if c.invalid {
			require.ErrorIs(t, err, ErrInvalid, name)
		} else {
			require.NoError(t, err, name)
		}
	}
}
