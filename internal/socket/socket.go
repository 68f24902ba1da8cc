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
	system, ok := conn.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return Closed
	}
	out := Closed
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			out = Idle
		case err == nil && n > 0:
			out = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return out
}
