package gateway

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/internal/wait"
)

// taskRestartDelay is the time between a panic of a restartable task and its next start.
const taskRestartDelay = time.Second

// task is a background task, which runs until its context ends.
type task struct {
	name string
	run  func(context.Context) error
	// restartable is set for a task that begins anew with nothing kept in memory from before: it
	// follows the source or reports. A panic then costs its current call, not the requests of all
	// callers. Other tasks share state with the rest of the process, which a panic may leave
	// inconsistent, so that panic ends the process.
	restartable bool
}

// runTask runs a task until ctx ends, and restarts it after a panic if that is safe.
func (g *Gateway) runTask(ctx context.Context, t task) {
	for ctx.Err() == nil {
		panicked, err := g.runGuarded(ctx, t)
		if !panicked {
			if err != nil {
				g.log.Event("duty_ended").Str("task", t.name).Err(err).Msg("")
			}
			return
		}
		wait.Sleep(ctx, taskRestartDelay)
	}
}

// runGuarded runs a task once and reports whether it panicked. A panic that makes a restart unsafe
// goes on.
func (g *Gateway) runGuarded(ctx context.Context, t task) (panicked bool, err error) {
	if !t.restartable {
		return false, t.run(ctx)
	}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if !g.core.isConsistent() {
			panic(cause)
		}
		panicked = true
		g.stats.TaskPanicked(t.name)
		g.log.Event("task_panicked").Str("task", t.name).Err(errors.Newf("%v", cause)).Bytes("stack", debug.Stack()).Msg("")
	}()
	return false, t.run(ctx)
}
