// Package socket looks at what a connection has to read, without reading it.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReadState is what a connection has to read.
type ReadState int

// What a connection may have to read.
const (
	Idle     ReadState = iota // it is open and quiet
	Readable                  // bytes have come
	Closed                    // the peer has closed it, or it failed
)

// Peek tells what a connection has to read. A connection that is no socket
// counts as quiet.
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
