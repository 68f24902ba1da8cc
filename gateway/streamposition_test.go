package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/croftvale/croftvale/origin"
	"github.com/stretchr/testify/require"
)

// resumingDialect is a dialect whose callers name the last event that they have.
type resumingDialect struct{ silenceDialect }

func (resumingDialect) ParseRequest(h http.Header) (RequestInfo, error) {
	info := RequestInfo{ID: h.Get("X-Id"), TimeLeft: time.Minute, AfterEvent: h.Get("X-After")}
	return info, nil
}

// anyOrigin knows that servers of any version may go on with a stream.
type anyOrigin struct{ noOrigins }

func (anyOrigin) Lookup(context.Context, string, origin.Key) origin.Resolution {
	return origin.Resolution{Certainty: origin.Inferred}
}

// resume requests the rest of a stream and returns the status, the whole body and the error of reading it.
func (f *silenceFront) resume(id, afterEvent string) (int, string, error) {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, f.callers.URL+"/x", nil)
	require.NoError(f.t, err)
	r.Host = "h"
	r.Header.Set("X-Id", id)
	r.Header.Set("X-After", afterEvent)
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// sendRaw sends the text of a stream.
func sendRaw(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// eventsOf returns the text of the events from first to last.
func eventsOf(first, last int) string {
	return strings.TrimPrefix(wholeStream(last), wholeStream(first-1))
}

// newResumingFront returns a router whose servers take roles by the order in which a request reaches them: the
// first one sends text and ends, and the others go on where they are told to, up to the sixth event.
func newResumingFront(t *testing.T, servers int, text string) *silenceFront {
	var o order
	f := newSilenceFront(t, servers, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
		startStream(w)
		if o.role(r.Header.Get("X-Id"), i) == 0 {
			sendRaw(w, text)
			return
		}
		sendEvents(w, nextEvent(r), 6)
	})
	f.dialect, f.origins = resumingDialect{}, anyOrigin{}
	return f
}

// TestResumedStreamBeginsWhereItsCallerStopped guards against events that come twice or are missing, since the
// server of a resumed stream begins elsewhere than after the event that its caller names.
func TestResumedStreamBeginsWhereItsCallerStopped(t *testing.T) {
	for name, text := range map[string]string{
		"begins again":        wholeStream(6),
		"repeats an event":    eventsOf(3, 6),
		"leaves an event out": eventsOf(5, 6),
		"sends no ID":         "data: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newResumingFront(t, 2, text)
			status, body, err := f.resume("a", "3")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, eventsOf(4, 6), body)
		})
	}
}

// TestEventsInOrder guards against events that come twice or are missing within one response.
func TestEventsInOrder(t *testing.T) {
	for name, text := range map[string]string{
		"leaves an event out": wholeStream(2) + eventsOf(4, 6),
		"repeats an event":    wholeStream(2) + eventsOf(2, 6),
		"goes back":           wholeStream(2) + eventsOf(1, 6),
	} {
		t.Run(name, func(t *testing.T) {
			f := newResumingFront(t, 2, text)
			status, body, err := f.resume("a", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, wholeStream(6), body)
		})
	}
}

// TestZeroIsAnID guards against events that come twice in a stream that counts from 0.
func TestZeroIsAnID(t *testing.T) {
	f := newResumingFront(t, 2, "id: 0\ndata: x\n\n"+"id: 0\ndata: x\n\n")
	status, body, err := f.resume("a", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "id: 0\ndata: x\n\n"+wholeStream(6), body)
}

// breakAfter returns a handler of which the first server that a request reaches sends text and breaks off. The
// others go on where they are told to, up to the sixth event.
func breakAfter(text string) func(int, http.ResponseWriter, *http.Request) {
	var o order
	return func(i int, w http.ResponseWriter, r *http.Request) {
		startStream(w)
		if o.role(r.Header.Get("X-Id"), i) == 0 {
			sendRaw(w, text)
			panic(http.ErrAbortHandler)
		}
		sendEvents(w, nextEvent(r), 6)
	}
}

// TestUnnumberedStreamGoesOnNowhere guards against a stream that begins again at another server, after its
// caller got events without IDs.
func TestUnnumberedStreamGoesOnNowhere(t *testing.T) {
	const unnumbered = "data: x\n\n"
	for name, text := range map[string]string{
		"none has an ID":     unnumbered,
		"the last has none":  wholeStream(2) + unnumbered,
		"an ID is no number": "id: a\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newSilenceFront(t, 2, isStreamRoute, breakAfter(text))
			status, body, err := f.get(t.Context(), "a")
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, text, body)
			require.Error(t, err, "the stream is not whole")
		})
	}
}

// TestUnnumberedStreamHasNoBackup guards against a backup that begins a stream again after its caller got
// events without IDs, while its silent server would go on.
func TestUnnumberedStreamHasNoBackup(t *testing.T) {
	const unnumbered = "data: x\n\n"
	var o order
	f := newSilenceFront(t, 2, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
		startStream(w)
		if o.role(r.Header.Get("X-Id"), i) == 0 {
			sendRaw(w, unnumbered)
			if pause(r, 2*time.Second) {
				sendRaw(w, unnumbered)
			}
			return
		}
		sendEvents(w, nextEvent(r), 6)
	})
	status, body, err := f.get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, unnumbered+unnumbered, body)
}

// TestBackupOutOfOrderDoesNotTakeOver guards against a stream that is cut, since the server of its backup begins
// elsewhere than after the last event, while its silent server would go on.
func TestBackupOutOfOrderDoesNotTakeOver(t *testing.T) {
	var o order
	f := newSilenceFront(t, 2, isStreamRoute, func(i int, w http.ResponseWriter, r *http.Request) {
		startStream(w)
		if o.role(r.Header.Get("X-Id"), i) == 0 {
			sendEvents(w, 1, 2)
			if pause(r, 2*time.Second) {
				sendEvents(w, 3, 6)
			}
			return
		}
		sendEvents(w, 1, 6)
	})
	status, body, err := f.get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, wholeStream(6), body)
}

// TestStreamResumedAtItsEnd guards against callers that never get the end of a stream of which they have all
// events, and against sound servers that count as failing since callers name events that never were.
func TestStreamResumedAtItsEnd(t *testing.T) {
	for _, after := range []string{"6", "1000", "-5"} {
		t.Run(after, func(t *testing.T) {
			f := newSilenceFront(t, 2, isStreamRoute, func(_ int, w http.ResponseWriter, r *http.Request) {
				startStream(w)
				sendEvents(w, max(nextEvent(r), 1), 6)
			})
			f.dialect, f.origins = resumingDialect{}, anyOrigin{}
			want := ""
			if after == "-5" {
				want = wholeStream(6)
			}
			for n := range 20 {
				status, body, err := f.resume(fmt.Sprint("r", n), after)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status, body)
				require.Equal(t, want, body)
			}
			for _, s := range f.core.serverStates() {
				require.Zero(t, s.Failures, "%+v", s)
			}
		})
	}
}
