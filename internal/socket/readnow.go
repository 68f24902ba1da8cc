package socket

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReadNow reads what has arrived on a connection. It returns an error that is syscall.EAGAIN if nothing has, and for a
// connection that is not a socket. It is for the reader of the connection only, as it takes the error.
func ReadNow(conn net.Conn, p []byte) (int, error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = unix.Read(int(fd), p)
		for readErr == unix.EINTR {
			n, readErr = unix.Read(int(fd), p)
		}
		return true // whatever came: it does not wait
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
