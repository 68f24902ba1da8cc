package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeek(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	require.Equal(t, Idle, Peek(server))
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return Peek(server) == Readable }, 10*time.Second, time.Millisecond)
	require.NoError(t, server.Close())
	require.Equal(t, Closed, Peek(server))
	require.Equal(t, Idle, Peek(nonSocketConn{}))
}

// nonSocketConn is a connection without a socket.
type nonSocketConn struct{ net.Conn }
