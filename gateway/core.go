package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/gateway/pressure"
	"github.com/croftvale/croftvale/internal/hostclock"
	"github.com/croftvale/croftvale/rollout"
)

// core owns the decisions: one lock around the machine, and a channel to the
// goroutine of each request.
type core struct {
	mu      sync.Mutex
	machine *direct.Machine
	waiters map[direct.RequestID]*waiter
	next    direct.RequestID
	clock   *hostclock.Clock
	log     *eventlog.Log
	probe   func(direct.ProbeCmd) // must not block
	report  func()                // tells the other routers at once; must not block
	answers func(rollout.Msg)     // must not block
	// pressure tells how late this process runs.
	pressure pressure.Gauge
	without  direct.DisabledMechanisms // mechanisms that are switched off
}

func newCore(o direct.Options, l *eventlog.Log) *core {
	return &core{
		machine:  direct.NewMachine(o),
		waiters:  make(map[direct.RequestID]*waiter),
		clock:    hostclock.New(),
		log:      l,
		probe:    func(direct.ProbeCmd) {},
		report:   func() {},
		answers:  func(rollout.Msg) {},
		without:  o.DisabledMechanisms,
		pressure: pressure.Gauge{Without: o.DisabledMechanisms},
	}
}

// Now is the time since the start, the time included in which the host was suspended.
func (c *core) Now() time.Duration { return c.clock.Now() }

// wake finds out whether the host was suspended, so that Now counts it.
func (c *core) wake() {
	if away := c.clock.Look(); away > 0 {
		c.log.Event("host_suspended").Dur("for", away).Msg("")
	}
}

// Update tells the machine something and hands its commands out.
func (c *core) Update(msg direct.Msg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.locked(msg)
}

func (c *core) locked(msg direct.Msg) {
	for _, cmd := range c.machine.Update(msg) {
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
			c.report()
		case direct.ProbeCmd:
			c.probe(cmd)
		case direct.ResponseCmd:
			c.answers(cmd.Response)
		case direct.MoveCmd:
			c.waiters[cmd.ID].move()
		}
	}
}

func (c *core) deliver(id direct.RequestID, cmd direct.Cmd) {
	if w := c.waiters[id]; w != nil {
		// A move that came until now was of an attempt that has ended.
		w.moves = false
		w.commands <- cmd
	}
}

// arrive takes a request in. Its commands come on the channel.
func (c *core) arrive(r direct.Request) (direct.RequestID, <-chan direct.Cmd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	r.ID = c.next
	w := &waiter{commands: make(chan direct.Cmd, 2)}
	c.waiters[r.ID] = w
	c.locked(direct.RequestMsg{Now: c.Now(), Request: r})
	return r.ID, w.commands
}

// door asks whether a request would be refused as soon as it came.
func (c *core) door(r direct.Request) (direct.RefuseCmd, bool) {
	if !c.without.Enabled(direct.EarlyRefusal) {
		return direct.RefuseCmd{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	r.ID = c.next
	for _, cmd := range c.machine.Update(direct.AdmissionCheckMsg{Now: c.Now(), Request: r}) {
		if refuse, ok := cmd.(direct.RefuseCmd); ok {
			return refuse, true
		}
	}
	return direct.RefuseCmd{}, false
}

// withheld tells whether a request that was placed must not be sent any more.
func (c *core) withheld(id direct.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.ShouldWithhold(c.Now(), id)
}

// done ends the channel of a request.
func (c *core) done(id direct.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, id)
}

// leave takes a waiting request out. Where it has just been sent, the attempt
// ends unused.
func (c *core) leave(id direct.RequestID, commands <-chan direct.Cmd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	c.locked(direct.CancelMsg{Now: now, ID: id})
	select {
	case <-commands:
		c.locked(direct.AttemptEndMsg{Now: now, ID: id, Outcome: direct.GivenUp})
	default:
	}
}

// tick lets time pass until ctx ends.
func (c *core) tick(ctx context.Context) error {
	ticker := time.NewTicker(direct.TickInterval)
	defer ticker.Stop()
	last := c.Now()
	waits := pressure.NewProbe(c.Now)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.wake()
			now := c.Now()
			late := now - last - direct.TickInterval
			last = now
			// A timer's goroutine runs before most others; requests wait longer.
			c.pressure.Observe(now, max(late, waits.Lag()))
			c.Update(direct.TickMsg{Now: c.Now()})
		}
	}
}
