package eventlog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a standard output that takes nothing.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBlockedOutput has a router whose standard output takes nothing go on: what
// does not fit is counted.
func TestBlockedOutput(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	l := New(out, "router")
	for range 3 * maxQueuedLines {
		l.Event("vitals").Msg("")
	}
	require.GreaterOrEqual(t, l.Dropped(), uint64(2*maxQueuedLines-1))
	close(out.release)
	l.Close()
}
