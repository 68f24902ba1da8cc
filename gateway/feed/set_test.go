package feed

import (
	"io"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/stats"
	"github.com/uber-go/tally/v4"
)

// discardLog drops all events. It is shared by tests that create many sets and is never closed.
var discardLog = eventlog.New(io.Discard, "test")

// lockedMachine is a StateMachine that guards a direct.Machine with a mutex.
type lockedMachine struct {
	mu      sync.Mutex
	machine *direct.Machine
	start   time.Time
}

func (m *lockedMachine) Now() time.Duration { return time.Since(m.start) }

func (m *lockedMachine) Update(msg direct.Msg) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.machine.Update(msg)
}

// newTestSet returns feeds without a source. Evacuations are enabled.
func newTestSet() *Set {
	return NewSet(Options{
		StateMachine: &lockedMachine{machine: direct.NewMachine(direct.Options{}), start: time.Now()},
		Log:          discardLog, Stats: stats.New(tally.NoopScope), EvacuationDeadline: 5 * time.Second,
	})
}
