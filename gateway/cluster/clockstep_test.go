package cluster

import (
	"testing"
	"time"

	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestRestartAfterClockWasSetBack guards against a router that is taken for lost until others have forgotten it: it
// has restarted after its clock was set back, so that the start of its new life is before that of the last one.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	const before, after = int64(2 * time.Hour), int64(time.Hour)
	p := newTestPeers("b", &peer{address: "a", startNanos: before, seq: 100})
	p.deps.Stats = stats.New(tally.NoopScope)
	restarted := p.known["a"]

	p.onHeartbeat(heartbeat{Address: "a", Life: after, Seq: 1})
	require.Equal(t, before, restarted.startNanos, "it may be late, from a life before the one that is heard")

	restarted.lastHeard -= p.peerTimeoutLocked() + time.Second
	p.onHeartbeat(heartbeat{Address: "a", Life: after, Seq: 2})
	require.Equal(t, after, restarted.startNanos)
	require.True(t, p.isAlive(restarted, p.deps.StateMachine.Now(), p.peerTimeoutLocked()))
	require.NotZero(t, restarted.restartedAt)

	seq := restarted.seq
	p.onHeartbeat(heartbeat{Address: "a", Life: after, Seq: 1})
	require.Equal(t, seq, restarted.seq, "a heartbeat that was overtaken")
}
