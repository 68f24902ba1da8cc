package gateway

import (
	"context"
	"errors"
	"io"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

func newTaskRunner() *Gateway {
	log := eventlog.New(io.Discard, "test")
	return &Gateway{log: log, core: newCore(direct.Options{}, log), stats: stats.New(tally.NoopScope)}
}

// TestPanicInRestartableTask guards against the end of the process, with all its requests, by a panic
// in a task that can begin anew.
func TestPanicInRestartableTask(t *testing.T) {
	g := newTaskRunner()
	starts := 0
	g.runTask(t.Context(), task{name: "follow", restartable: true, run: func(context.Context) error {
		starts++
		if starts == 1 {
			var none *direct.Config
			_ = none.Version
		}
		return nil
	}})
	require.Equal(t, 2, starts)
}

// TestPanicThatEndsTheProcess guards against requests that are routed on inconsistent state: a panic in
// other tasks, or while the state machine is updated, is not recovered.
func TestPanicThatEndsTheProcess(t *testing.T) {
	g := newTaskRunner()
	failure := errors.New("broken")
	fails := func(context.Context) error { panic(failure) }
	require.PanicsWithError(t, "broken", func() { g.runTask(t.Context(), task{name: "heartbeats", run: fails}) })
	require.True(t, g.core.isConsistent())
	g.core.updating = true // as a panic within an update leaves it
	require.PanicsWithError(t, "broken", func() { g.runTask(t.Context(), task{name: "follow", restartable: true, run: fails}) })
}
