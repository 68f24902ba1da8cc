package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// resumeDialect is a dialect in which each request resumes a stream after its first event.
type resumeDialect struct{ startDialect }

func (resumeDialect) ParseRequest(h http.Header) (RequestInfo, error) {
	return RequestInfo{ID: h.Get("X-Id"), TimeLeft: time.Minute, PromptTokens: 10, OutputTokens: 10, AfterEvent: "1", Resumes: "first"}, nil
}

// doubtingOrigins infers the listed version. With doubts, it ceases to once a server has restarted.
type doubtingOrigins struct {
	noOrigins
	doubts bool
	met    atomic.Int64
}

func (o *doubtingOrigins) MetUnlisted(_, start string) {
	if start == "i-0@6" {
		o.met.Add(1)
	}
}

func (o *doubtingOrigins) Lookup(context.Context, string, origin.Key) origin.Resolution {
	if o.doubts && o.met.Load() > 0 {
		return origin.Resolution{Evidence: origin.VersionUnlisted}
	}
	return origin.Resolution{Certainty: origin.Inferred, Version: "v1"}
}

// TestMetStartCastsDoubtOnAnInference guards against a stream that goes on at the only listed version though, while it
// looked for a server, a server turned out to have restarted since its entry, and may have begun the stream. If other
// routers still rule that out, it goes on.
func TestMetStartCastsDoubtOnAnInference(t *testing.T) {
	for _, doubts := range []bool{true, false} {
		f := newStartFront(t, 2, func(r *direct.Route) { r.Resumable = true }, func(i int, w http.ResponseWriter, r *http.Request) {
			if isReport(r) {
				sendStart(w, entryStart+1-i) // the first server has restarted
				return
			}
			startStream(w)
			sendEvents(w, nextEvent(r), 4)
		})
		o := &doubtingOrigins{doubts: doubts}
		f.dialect, f.origins = resumeDialect{}, o
		for n := 0; o.met.Load() == 0; n++ {
			require.Less(t, n, 100, "no request came to the first server")
			status, body, err := f.get(t.Context(), "a")
			require.NoError(t, err)
			if doubts && o.met.Load() > 0 {
				require.Equal(t, http.StatusServiceUnavailable, status, body)
				require.Contains(t, body, reasonOriginUnknown)
				continue
			}
			require.Equal(t, http.StatusOK, status, body)
		}
		require.Zero(t, f.servers[0].running.Load())
	}
}
