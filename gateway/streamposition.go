package gateway

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// errEventOutOfOrder is returned for an event that comes too early, or that the caller has already.
var errEventOutOfOrder = errors.New("the event is not the next one of the stream")

// streamPosition is the last event of a stream that its caller has. The zero value is that of a caller
// that has none.
type streamPosition struct {
	id     int64 // of the last event that has one
	hasID  bool  // there is such an event
	passed bool  // events without an ID have come since, so that no other server can go on after them
}

// positionOf returns the position of a caller that names the last event that it has. It is the zero value
// if the caller names none, or one that no event can have.
func positionOf(afterEvent string) streamPosition {
	id, err := strconv.ParseInt(afterEvent, 10, 64)
	return streamPosition{id: id, hasID: err == nil && id >= 0}
}

// isKnown reports whether another server can go on after the position.
func (p streamPosition) isKnown() bool { return p.hasID && !p.passed }

// precedes reports whether an event is the next one of the stream. The first event that a server sends of a
// stream that others began must have an ID; later ones belong to the same run without one.
func (p streamPosition) precedes(e event, isFirst bool) bool {
	switch {
	case !e.hasID:
		return !isFirst || !p.hasID || e.isTrailer
	case !p.hasID:
		return true
	case p.passed:
		return e.id > p.id
	}
	return e.id == p.id+1
}

// after returns the position once the caller has an event.
func (p streamPosition) after(e event) streamPosition {
	switch {
	case e.isTrailer:
		return p
	case !e.hasID:
		return streamPosition{id: p.id, hasID: p.hasID, passed: true}
	}
	return streamPosition{id: e.id, hasID: true}
}

// afterEvent returns the position as a request names it.
func (p streamPosition) afterEvent() string { return strconv.FormatInt(p.id, 10) }

// canContinue reports whether another server can go on with the response.
func (x *exchange) canContinue() bool {
	return !x.headSent || x.route.MayRepeat() && x.position.isKnown()
}
