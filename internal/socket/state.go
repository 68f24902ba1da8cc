package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as the system keeps it. It also shows a failure whose error has been read.
type State int

// The states of a connection.
const (
	StateUnknown State = iota // the system does not tell it
	StateOpen
	StatePeerClosed // the peer has closed its side in order
	StateFailed     // it was reset, or its peer acknowledged nothing any more
)

// String returns the name of the state for logs and metrics.
func (s State) String() string { return [...]string{"unknown", "open", "peer_closed", "failed"}[s] }

// StateOf returns the state of a connection, and StateUnknown for one that is closed here or is no socket.
func StateOf(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return StateUnknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return StateUnknown
	}
	state := StateUnknown
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state = stateOfTCP(info.State)
		}
	})
	if err != nil {
		return StateUnknown
	}
	return state
}

// stateOfTCP returns the state that a state of TCP stands for. A connection that is open on this side gets to none
// but these.
func stateOfTCP(state uint8) State {
	switch state {
	case unix.BPF_TCP_ESTABLISHED:
		return StateOpen
	case unix.BPF_TCP_CLOSE_WAIT:
		return StatePeerClosed
	case unix.BPF_TCP_CLOSE:
		return StateFailed
	}
	return StateUnknown
}
