package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// CloseQueued closes connections that wait in a listener's accept queue, at most limit of
// them, without reading them, and returns how many it closed. It takes two system calls
// for each: the cheapest way to show a caller that nothing of its request was read and
// that it should try another host. A listener that is not a socket has no queue.
func CloseQueued(ln net.Listener, limit int) int {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0 // the listener and its queue are closed
	}
	closed := 0
	err = raw.Control(func(fd uintptr) {
		for closed < limit {
			conn, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // the queue is empty
			}
			_ = unix.Close(conn) // nothing was written, so nothing is lost
			closed++
		}
	})
	if err != nil {
		return 0
	}
	return closed
}
