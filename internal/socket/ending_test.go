package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIsEnding checks that the end of a connection is seen behind data that nobody has read.
func TestIsEnding(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	require.False(t, IsEnding(near))
	_, err = io.WriteString(far, "data")
	require.NoError(t, err)
	require.False(t, IsEnding(near))
	require.NoError(t, far.Close())
	require.Eventually(t, func() bool { return IsEnding(near) }, 10*time.Second, time.Millisecond)
	require.Equal(t, Readable, Peek(near))
	require.NoError(t, near.Close())
	require.True(t, IsEnding(near))
}
