package link

import "github.com/croftvale/croftvale/wire"

// Event is a message or a change of state on a link.
type Event struct {
	Conn *Conn
	Kind EventKind
	Msg  wire.Message // for EventMessage
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of event. Every Conn delivers one EventUp, then its messages, then one
// EventDown.
const (
	EventUp EventKind = iota
	EventMessage
	EventDown
)
