package eventlog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// blocked is a standard output that takes nothing.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBlockedOutput has a router whose standard output takes nothing go on: what
// does not fit is counted.
func TestBlockedOutput(t *testing.T) {
	out := blocked{release: make(chan struct{})}
	j := New(out, "router")
	for range 3 * queuedLines {
		j.Event("vitals").Msg("")
	}
	require.GreaterOrEqual(t, j.Dropped(), uint64(2*queuedLines-1))
	close(out.release)
	j.Close()
}
