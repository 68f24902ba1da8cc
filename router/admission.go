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

// streamAbove is the size from which a body is forwarded as it comes, in
// bytes; smaller ones are held, so that they can be sent again.
const streamAbove = 64 << 10

// bodyTimeout is how long a caller may take to send its body, or the head of a
// large one.
const bodyTimeout = 30 * time.Second

// admission is a request that has passed the checks at the door.
type admission struct {
	id          string
	table       *table
	team        *bundle.Team
	work        bundle.Work
	class       fleet.Class
	repeatable  bool
	timeLeft    time.Duration // 0 where the caller sets no deadline
	body        *body
	idempotency *idempotency
}

// body is a caller's request body: what was read, and the rest of the stream.
type body struct {
	head  []byte
	rest  io.Reader // nil where head is all
	size  int64     // -1 where unknown
	spent bool      // part of rest is gone; it can't be sent again
}

// open returns the body for one run.
func (b *body) open() *relay.SingleUseBody {
	if b.rest != nil {
		b.spent = true
	}
	return relay.NewSingleUseBody(b.head, b.rest)
}

// admit checks a request at the door.
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
	if f := a.readBody(w, r); f != nil {
		return nil, f
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

// readBody reads the body, or its head where it is large and its route does
// not depend on it.
func (a *admission) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	limit := int64(a.table.limits.MaxBody)
	if r.ContentLength > limit {
		return &refusedLarge
	}
	src := http.MaxBytesReader(w, r.Body, limit)
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout)) // test writers have none
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	keep := int64(streamAbove)
	if a.table.asksModel(r.URL.Path) {
		keep = limit
	}
	head, err := io.ReadAll(io.LimitReader(src, keep+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusedLarge
	}
	if err != nil {
		return &refusedBody
	}
	a.body = &body{head: head, size: r.ContentLength}
	if int64(len(head)) > keep {
		a.body.rest = src
		return nil
	}
	a.body.size = int64(len(head))
	return nil
}

// model reads the model that a body asks for.
func (a *admission) model(r *http.Request) string {
	if !a.table.asksModel(r.URL.Path) {
		return ""
	}
	var fields struct {
		Model string `json:"model"`
	}
	if err := json.NewDecoder(bytes.NewReader(a.body.head)).Decode(&fields); err != nil {
		return "" // no work of a model matches, which is what the caller is told
	}
	return fields.Model
}

// readHeaders reads the caller's wishes; the work gives the defaults.
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
	return a.readKey(h)
}

// readKey reads the idempotency key of a request that may not be repeated; of
// others it is the server's business alone.
func (a *admission) readKey(h http.Header) bool {
	text := h.Get(relay.HeaderIdempotencyKey)
	if text == "" || a.repeatable {
		return true
	}
	a.idempotency = &idempotency{key: once.NewKey(a.team.Name, a.work.Name, text)}
	v := h.Get(relay.HeaderKeyCreatedAt)
	if v == "" {
		return true
	}
	made, err := time.Parse(time.RFC3339Nano, v)
	a.idempotency.made = made
	return err == nil
}

func (a *admission) key() fleet.DemandKey {
	return fleet.DemandKey{Work: a.work.Name, Team: a.team.Name, Class: a.class}
}
