package eventlog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a standard output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBlockedOutput checks that logging does not block while writes to standard output block,
// and that lines beyond the queue are counted as dropped.
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
