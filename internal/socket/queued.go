package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// CloseQueued closes the connections that wait in a listener's queue, most of them
// at the most, without reading them, and returns how many there were. It takes two
// system calls for each: the cheapest way to tell a caller that nothing of its
// request was read, and that it should ask another host. A listener that is no
// socket has no queue.
func CloseQueued(ln net.Listener, limit int) int {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0 // the listener is closed, and its queue with it
	}
	closed := 0
	err = raw.Control(func(fd uintptr) {
		for closed < limit {
			conn, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return // the queue is empty
			}
			_ = unix.Close(conn) // nothing was written that could be lost
			closed++
		}
	})
	if err != nil {
		return 0
	}
	return closed
}
