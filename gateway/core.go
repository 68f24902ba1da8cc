package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/internal/hostclock"
	"github.com/croftvale/croftvale/rollout"
)

// core guards the machine, which decides where requests go, with a lock, and passes its
// commands to the goroutine of each request.
type core struct {
	mu             sync.Mutex
	machine        *direct.Machine
	updating       bool                                 // an update is in progress, or has ended in a panic
	waiters        map[direct.RequestID]chan direct.Cmd // by request, to its goroutine
	aborters       map[direct.RequestID]func()          // by request, abort its attempt; must not block
	nextID         direct.RequestID
	clock          *hostclock.Clock
	log            *eventlog.Log
	probe          func(direct.ProbeCmd) // must not block
	reportNow      func()                // sends a report to the other routers at once; must not block
	notifyRollouts func(rollout.Msg)     // must not block
	// pressure measures how late this process runs.
	pressure pressure.Gauge
	// stalls measures for how long this process has not run.
	stalls   pressure.Stalls
	disabled direct.DisabledMechanisms // mechanisms that are switched off
}

func newCore(o direct.Options, l *eventlog.Log) *core {
	return &core{
		machine:        direct.NewMachine(o),
		waiters:        make(map[direct.RequestID]chan direct.Cmd),
		aborters:       make(map[direct.RequestID]func()),
		clock:          hostclock.New(),
		log:            l,
		probe:          func(direct.ProbeCmd) {},
		reportNow:      func() {},
		notifyRollouts: func(rollout.Msg) {},
		disabled:       o.DisabledMechanisms,
		pressure:       pressure.Gauge{DisabledMechanisms: o.DisabledMechanisms},
	}
}

// Now returns the time since the start, including the time for which the host was
// suspended.
func (c *core) Now() time.Duration { return c.clock.Now() }

// checkSuspension detects whether the host was suspended, adds that time to Now, and logs
// it.
func (c *core) checkSuspension() {
	if suspended := c.clock.CheckSuspension(); suspended > 0 {
		c.log.Event("host_suspended").Dur("for", suspended).Msg("")
	}
}

// Update passes a message to the machine and carries out its commands.
func (c *core) Update(msg direct.Msg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLocked(msg)
}

// errInconsistent is the cause of the panic of an update after one that ended in a panic.
var errInconsistent = errors.New("an earlier update of the state machine ended in a panic")

// updateLocked is Update for callers that hold the lock. It returns the commands, which are valid until
// the next update. Once an update has ended in a panic, all later ones panic as well: the state is
// inconsistent, and the process is about to end.
func (c *core) updateLocked(msg direct.Msg) []direct.Cmd {
	if c.updating {
		panic(errInconsistent)
	}
	c.updating = true
	cmds := c.machine.Update(msg)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case direct.SendCmd:
			c.deliver(cmd.ID, cmd)
		case direct.RefuseCmd:
			c.deliver(cmd.ID, cmd)
		case direct.FailCmd:
			c.deliver(cmd.ID, cmd)
		case direct.ServerStatusCmd:
			c.log.ServerStatus(cmd)
		case direct.EvacuationCmd:
			c.log.Evacuation(cmd)
		case direct.HallReachabilityCmd:
			c.log.HallReachability(cmd)
		case direct.CrashCmd:
			c.log.Crash(cmd)
		case direct.QuarantineCmd:
			c.log.Quarantine(cmd.Change)
		case direct.ReportCmd:
			c.reportNow()
		case direct.AbortCmd:
			if abort := c.aborters[cmd.ID]; abort != nil {
				abort()
			}
		case direct.ProbeCmd:
			c.probe(cmd)
		case direct.ResponseCmd:
			c.notifyRollouts(cmd.Response)
		}
	}
	c.updating = false
	return cmds
}

// isConsistent reports whether no update has ended in a panic.
func (c *core) isConsistent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.updating
}

// deliver passes a command to the goroutine of a request. The lock must be held.
func (c *core) deliver(id direct.RequestID, cmd direct.Cmd) {
	if commands := c.waiters[id]; commands != nil {
		commands <- cmd
	}
}

// submit passes a new request to the machine. Its commands arrive on the returned channel.
func (c *core) submit(r direct.Request) (direct.RequestID, <-chan direct.Cmd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	r.ID = c.nextID
	commands := make(chan direct.Cmd, 2)
	c.waiters[r.ID] = commands
	c.updateLocked(direct.RequestMsg{Now: c.Now(), Request: r})
	return r.ID, commands
}

// submitBackup asks the machine for a backup of a request. Its commands arrive on the returned channel.
func (c *core) submitBackup(of direct.RequestID) (direct.RequestID, <-chan direct.Cmd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	id, commands := c.nextID, make(chan direct.Cmd, 2)
	c.waiters[id] = commands
	c.updateLocked(direct.BackupMsg{Now: c.Now(), ID: id, Of: of})
	return id, commands
}

// checkAdmission returns the refusal of a request that the machine would refuse on arrival,
// and reports whether there is one. It does not submit the request.
func (c *core) checkAdmission(r direct.Request) (direct.RefuseCmd, bool) {
	if !c.disabled.Enabled(direct.EarlyRefusal) {
		return direct.RefuseCmd{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	r.ID = c.nextID
	for _, cmd := range c.updateLocked(direct.AdmissionCheckMsg{Now: c.Now(), Request: r}) {
		if refused, ok := cmd.(direct.RefuseCmd); ok {
			return refused, true
		}
	}
	return direct.RefuseCmd{}, false
}

// beginAttempt reports whether a request that was placed may still be sent. If so, abort is called if
// its attempt is to be aborted, until endAttempt.
func (c *core) beginAttempt(id direct.RequestID, abort func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine.ShouldWithhold(c.Now(), id) {
		return false
	}
	c.aborters[id] = abort
	return true
}

// endAttempt unregisters what beginAttempt registered.
func (c *core) endAttempt(id direct.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.aborters, id)
}

// removeWaiter unregisters the goroutine of a request.
func (c *core) removeWaiter(id direct.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, id)
}

// cancel removes a waiting request. If the request has just been placed on a server, its
// attempt ends without being sent.
func (c *core) cancel(id direct.RequestID, commands <-chan direct.Cmd) {
	c.cancelAs(id, commands, direct.GivenUp)
}

// cancelAs is cancel with the outcome of an attempt that has just been placed.
func (c *core) cancelAs(id direct.RequestID, commands <-chan direct.Cmd, o direct.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.updateLocked(direct.CancelMsg{Now: now, ID: id})
	select {
	case <-commands:
		c.updateLocked(direct.AttemptEndMsg{Now: now, ID: id, Outcome: o})
	default:
	}
}

// abandon ends a request whose goroutine carries out no more commands, wherever the machine has it.
func (c *core) abandon(id direct.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.updateLocked(direct.CancelMsg{Now: now, ID: id})
	c.updateLocked(direct.AttemptEndMsg{Now: now, ID: id, Outcome: direct.GivenUp})
}

// runTicks sends ticks to the machine until ctx ends.
func (c *core) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(direct.TickInterval)
	defer ticker.Stop()
	last := c.Now()
	probe := pressure.NewProbe(c.Now)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.checkSuspension()
			now := c.Now()
			lag := now - last - direct.TickInterval
			last = now
			c.stalls.Tick(now)
			// The goroutine of a timer runs before most others. Requests wait longer, and
			// the probe measures that.
			c.pressure.Observe(now, max(lag, probe.Lag()))
			c.Update(direct.TickMsg{Now: c.Now()})
		}
	}
}
