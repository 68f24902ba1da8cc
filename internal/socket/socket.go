// Package socket inspects and closes connections without reading from them. To look at a connection changes nothing of
// it: the system tells the error of a connection once, to whoever asks first, and that has to be its reader. A read that
// comes later gets a plain end. KeepWriteErrors keeps the error for the reader if a write meets it.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReadState describes what can be read from a connection.
type ReadState int

// The read states of a connection.
const (
	Idle     ReadState = iota // open, with no unread bytes
	Readable                  // unread bytes have arrived
	Closed                    // closed by the peer, or failed
	Unknown                   // the system does not tell it
)

// peerEnded are the events of a connection whose peer has closed its side, or that has failed.
const peerEnded = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// Peek returns the read state of a connection without reading from it. A connection that
// is not a socket counts as Idle.
func Peek(conn net.Conn) ReadState {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	err = raw.Control(func(fd uintptr) { state = readState(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

// readState returns the read state of an open connection.
func readState(fd int) ReadState {
	events, err := pollNow(fd, unix.POLLIN|unix.POLLRDHUP)
	if err != nil {
		return Unknown
	}
	switch {
	case events == 0:
		return Idle
	case events&peerEnded == 0:
		return Readable
	}
	unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	switch {
	case err != nil:
		return Unknown
	case unread > 0:
		return Readable
	}
	return Closed
}

// pollNow returns which events of a connection are pending.
func pollNow(fd int, events int16) (int16, error) {
	poll := []unix.PollFd{{Fd: int32(fd), Events: events}}
	_, err := unix.Poll(poll, 0)
	for err == unix.EINTR { // a signal is pending, such as the runtime's own
		_, err = unix.Poll(poll, 0)
	}
	return poll[0].Revents, err
}

// IsEnding reports whether the peer of a connection has closed its side, also if data that it sent before has not
// been read. A connection that is not a socket is not ending as far as is known.
func IsEnding(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ending := true
	err = raw.Control(func(fd uintptr) {
		events, err := pollNow(int(fd), unix.POLLRDHUP)
		ending = err != nil || events != 0
	})
	return ending || err != nil
}
