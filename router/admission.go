package router

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/once"
	"github.com/croftvale/croftvale/relay"
)

// maxBufferedBody is the size in bytes up to which a body is buffered, so that
// it can be sent again. Larger bodies are streamed.
const maxBufferedBody = 64 << 10

// bodyTimeout bounds how long a caller may take to send its body, or the
// buffered head of a large body.
const bodyTimeout = 30 * time.Second

// admission holds the properties of an admitted request that the checks determined.
type admission struct {
	id          string
	table       *routingTable
	team        *bundle.Team
	work        bundle.Work
	class       fleet.Class
	repeatable  bool
	timeLeft    time.Duration // 0 if the caller sets no deadline
	body        *body
	idempotency *idempotency
}

// body holds a caller's request body: the buffered head and the unread rest.
type body struct {
	head     []byte
	rest     io.Reader // nil if head is the whole body
	size     int64     // in bytes; -1 if unknown
	consumed bool      // rest may have been read, so the body can't be sent again
}

// open returns a reader over the whole body for one attempt.
func (b *body) open() *relay.SingleUseBody {
	if b.rest != nil {
		b.consumed = true
	}
	return relay.NewSingleUseBody(b.head, b.rest)
}

// admit reads and checks a request before it is queued. It returns a refusal
// if the request fails a check.
func (h *handler) admit(w http.ResponseWriter, r *http.Request, id string) (*admission, *refusal) {
	t := h.table.Load()
	if t == nil {
		return nil, &refusedNoBundle
	}
	a := &admission{id: id, table: t}
	var ok bool
	if a.team, ok = t.team(r); !ok {
		return nil, &refusedKey
	}
	if refused := a.readBody(w, r); refused != nil {
		return nil, refused
	}
	if a.work, ok = t.route(r.Method, r.URL.Path, a.model(r)); !ok {
		return nil, &refusedRoute
	}
	if !allowed(a.team, a.work.Name) {
		return nil, &refusedWork
	}
	if !a.readHeaders(r.Header) {
		return nil, &refusedHeader
	}
	return a, nil
}

// allowed reports whether team t may request work w. A team that lists no works
// may request all of them.
func allowed(t *bundle.Team, w fleet.Work) bool {
	if len(t.Works) == 0 {
		return true
	}
	for _, have := range t.Works {
		if have == w {
			return true
		}
	}
	return false
}

// readBody buffers the whole body if the route depends on the model that the body
// names. Otherwise it buffers up to maxBufferedBody bytes and leaves the rest unread.
func (a *admission) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	limit := int64(a.table.limits.MaxBody)
	if r.ContentLength > limit {
		return &refusedLarge
	}
	src := http.MaxBytesReader(w, r.Body, limit)
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // response writers of tests don't support deadlines
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	maxHead := int64(maxBufferedBody)
	if a.table.dependsOnModel(r.URL.Path) {
		maxHead = limit
	}
	head, err := io.ReadAll(io.LimitReader(src, maxHead+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusedLarge
	}
	if err != nil {
		return &refusedBody
	}
	a.body = &body{head: head, size: r.ContentLength}
	if int64(len(head)) > maxHead {
		a.body.rest = src
		return nil
	}
	a.body.size = int64(len(head))
	return nil
}

// model returns the model named in a JSON body, or "" if the route doesn't
// depend on it or the body can't be decoded.
func (a *admission) model(r *http.Request) string {
	if !a.table.dependsOnModel(r.URL.Path) {
		return ""
	}
	var fields struct {
		Model string `json:"model"`
	}
	if err := json.NewDecoder(bytes.NewReader(a.body.head)).Decode(&fields); err != nil {
		return "" // matches no work that has a model; the caller gets refusedRoute
	}
	return fields.Model
}

// readHeaders reads the caller's Croftvale headers, with defaults from the work.
// It reports whether all of them are valid.
func (a *admission) readHeaders(h http.Header) bool {
	a.class, _ = fleet.ParseClass(a.work.Class)
	if v := h.Get(relay.HeaderClass); v != "" {
		c, ok := fleet.ParseClass(v)
		if !ok {
			return false
		}
		a.class = c
	}
	a.repeatable = a.work.Repeatable && a.body.rest == nil
	switch h.Get(relay.HeaderRepeatable) {
	case "", "yes":
	case "no":
		a.repeatable = false
	default:
		return false
	}
	if v := h.Get(relay.HeaderDeadline); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return false
		}
		a.timeLeft = d
	}
	return a.readIdempotencyKey(h)
}

// readIdempotencyKey reads the idempotency key of a request that must not be
// repeated. The key of a repeatable request is left to the backend server.
// It reports whether the key's creation time is valid.
func (a *admission) readIdempotencyKey(h http.Header) bool {
	text := h.Get(relay.HeaderIdempotencyKey)
	if text == "" || a.repeatable {
		return true
	}
	a.idempotency = &idempotency{key: once.NewKey(a.team.Name, a.work.Name, text)}
	v := h.Get(relay.HeaderKeyCreatedAt)
	if v == "" {
		return true
	}
	createdAt, err := time.Parse(time.RFC3339Nano, v)
	a.idempotency.createdAt = createdAt
	return err == nil
}

func (a *admission) demandKey() fleet.DemandKey {
	return fleet.DemandKey{Work: a.work.Name, Team: a.team.Name, Class: a.class}
}
