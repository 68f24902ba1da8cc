// Package socket inspects and closes connections without reading from them.
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
)

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
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
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
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		for err == unix.EINTR { // a signal is pending, such as the runtime's own
			n, err = unix.Poll(poll, 0)
		}
		ending = err != nil || n > 0
	})
	return ending || err != nil
}
