package socket

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCloseQueued checks that CloseQueued closes waiting connections up to the limit and
// that the listener can still accept.
func TestCloseQueued(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	require.Zero(t, CloseQueued(listener, 10))
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	first, second, third := dial(), dial(), dial()
	require.Equal(t, 2, CloseQueued(listener, 2))
	for _, closed := range []net.Conn{first, second} {
		_, err := closed.Read(make([]byte, 1))
		require.Error(t, err)
	}
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.Equal(t, third.LocalAddr().String(), accepted.RemoteAddr().String())
}
