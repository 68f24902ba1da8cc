package backend

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestDialOverdue checks that a dial that fails because this process gets no processor time is
// marked with ErrRouterLate, since it is no evidence about the backend server. A refused
// connection is not marked.
func TestDialOverdue(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	latePool := NewPool(Options{DialTimeout: 10 * time.Millisecond})
	latePool.dialer.Control = func(string, string, syscall.RawConn) error {
		time.Sleep(10*time.Millisecond + 2*dialTimeoutSlack)
		return nil
	}
	_, err = latePool.Dial(t.Context(), address)
	require.True(t, errors.Is(err, ErrUnsent))
	require.True(t, errors.Is(err, ErrRouterLate))

	require.NoError(t, listener.Close())
	_, err = NewPool(Options{DialTimeout: time.Minute}).Dial(t.Context(), address)
	require.True(t, errors.Is(err, ErrUnsent))
	require.False(t, errors.Is(err, ErrRouterLate))
}
