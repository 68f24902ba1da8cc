package link

import "github.com/croftvale/croftvale/wire"

// Event is something that happened on a link.
type Event struct {
	Conn *Conn
	Kind EventKind
	Msg  wire.Message // for EventMessage
}

// EventKind tells events apart.
type EventKind uint8

// The kinds of event. Every Conn gives one EventUp, then its messages, then
// one EventDown.
const (
	EventUp EventKind = iota
	EventMessage
	EventDown
)
