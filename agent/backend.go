package agent

import (
	"net/http"
	"strconv"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/relay"
)

const (
	maxIdle     = 64
	idleTimeout = 90 * time.Second
)

// backend calls the backend server. Requests that may run only once get a
// connection of their own: net/http may send a request again on its own when
// a kept connection was closed by the other side.
type backend struct {
	kept  *http.Transport
	fresh *http.Transport
}

func newBackend() *backend {
	base := &http.Transport{
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	return &backend{kept: base, fresh: fresh}
}

func (b *backend) transport(repeatable bool) http.RoundTripper {
	if repeatable {
		return b.kept
	}
	return b.fresh
}

// forward passes a started request to the server and its answer back.
func (s *server) forward(w http.ResponseWriter, r *http.Request, t *target) {
	var sent relay.SendTracker
	req := sent.Trace(outgoing(r, t))
	repeatable := r.Header.Get(relay.HeaderRepeatable) == "yes"
	res, err := s.back.transport(repeatable).RoundTrip(req)
	if err != nil {
		s.failed(w, r, &sent, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	s.health.passed()
	s.heed(res)
	relay.CopyHeader(w.Header(), res.Header, relay.HeaderRan)
	w.Header().Set(relay.HeaderRan, "yes")
	w.WriteHeader(res.StatusCode)
	body := s.checked(res, t, r)
	if err := relay.Copy(w, body); err != nil {
		s.log.Warn().Str("request", r.Header.Get(relay.HeaderRequestID)).Err(err).Msg("answer cut")
		// The connection must break, or a part would pass for the whole.
		panic(http.ErrAbortHandler)
	}
}

// failed answers for a run that brought no answer.
func (s *server) failed(w http.ResponseWriter, r *http.Request, sent *relay.SendTracker, err error) {
	ran := "no"
	if sent.MayHaveSent() {
		ran = "unknown"
	}
	if r.Context().Err() == nil {
		if s.health.failed() {
			s.tellCore(r.Context(), false)
		}
		s.log.Warn().Str("request", r.Header.Get(relay.HeaderRequestID)).Str("ran", ran).Err(err).Msg("backend server failed")
	}
	refuse(w, ran, "the backend server gave no answer")
}

// outgoing builds the request to the server.
func outgoing(r *http.Request, t *target) *http.Request {
	u := *r.URL
	u.Scheme = "http"
	u.Host = t.server.Address.String()
	req := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Header:        http.Header{},
		Body:          relay.NewSingleUseBody(nil, r.Body),
		ContentLength: r.ContentLength,
		Host:          u.Host,
	}
	relay.CopyHeader(req.Header, r.Header, relay.HeaderClaim, relay.HeaderTeam, relay.HeaderWork, relay.HeaderRepeatable)
	work := t.works[fleet.Work(r.Header.Get(relay.HeaderWork))]
	if work.Kind == bundle.KindModel {
		req.Header.Set(headerPriority, priority(r.Header.Get(relay.HeaderClass)))
	}
	return req.WithContext(r.Context())
}

// headerPriority tells a model engine a request's priority; lower runs first.
const headerPriority = "X-Request-Priority"

func priority(class string) string {
	c, _ := fleet.ParseClass(class)
	return strconv.Itoa(int(c))
}
