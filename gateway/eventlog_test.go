package gateway

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
	j := newEventLog(out, "router")
	for range 3 * queuedLines {
		j.event("vitals").Msg("")
	}
	require.GreaterOrEqual(t, j.dropped.Load(), uint64(2*queuedLines-1))
	close(out.release)
	j.close()
}
