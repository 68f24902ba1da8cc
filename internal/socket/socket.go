// Package socket looks at what a connection has to read, without reading it.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread is what a connection has to read.
type Unread int

// What a connection may have to read.
const (
	Nothing Unread = iota // it is open and quiet
	Bytes                 // bytes have come
	Ended                 // the peer has closed it, or it failed
)

// Look tells what a connection has to read. A connection that is no socket
// counts as quiet.
func Look(conn net.Conn) Unread {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return Nothing
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return Ended
	}
	out := Ended
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			out = Nothing
		case err == nil && n > 0:
			out = Bytes
		}
	})
	if err != nil {
		return Ended
	}
	return out
}
