package once

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation is routers and owners with a network that delays, loses and
// repeats, owners that restart with no state, and pools that change.
type simulation struct {
	now               time.Duration
	startedAt         time.Time
	agents            []fleet.Name
	owners            map[fleet.Name]*simOwner
	routers           []*Coordinator
	inFlight          []func()
	runs              map[Key]int
	next              uint64
	attempts          map[uint64]Key
	overclaimsHistory bool // owners vouch for what they can't know
	violation         string
}

type simOwner struct {
	table     *KeyTable
	startedAt time.Duration
}

func newSimulation(forgets bool) *simulation {
	w := &simulation{
		now: 2 * KeyTTL, startedAt: time.Unix(1_000_000, 0), owners: map[fleet.Name]*simOwner{},
		runs: map[Key]int{}, attempts: map[uint64]Key{}, overclaimsHistory: forgets,
		routers: []*Coordinator{NewCoordinator(), NewCoordinator()},
	}
	for i := range 5 {
		n := fleet.Name(fmt.Sprintf("app-%d", i))
		w.agents = append(w.agents, n)
	}
	for _, n := range w.agents {
		w.start(n, 0)
	}
	return w
}

// start starts an owner with no state at a time.
func (w *simulation) start(n fleet.Name, at time.Duration) {
	cfg := KeyTableConfig{Self: n, StartedAt: w.startedAt.Add(at)}
	o := &simOwner{table: NewKeyTable(cfg), startedAt: at}
	if w.overclaimsHistory {
		o.startedAt -= 3 * KeyTTL // it takes itself for older than it is
	}
	o.table.Update(PoolMsg{Work: "tag", Agents: w.agents})
	w.owners[n] = o
}

func (w *simulation) age(o *simOwner) time.Duration { return w.now - o.startedAt }

func (w *simulation) perform(router int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case ReserveCmd:
			w.inFlight = append(w.inFlight, func() { w.reserve(router, c) })
		case ReleaseCmd:
			w.inFlight = append(w.inFlight, func() {
				o := w.owners[c.Owner]
				o.table.Update(ReleaseMsg{Now: w.age(o), Key: c.Key, Holder: c.Holder})
			})
		case DecideCmd:
			if c.Decision == DecisionRun {
				w.run(w.attempts[c.Request])
			}
		}
	}
}

func (w *simulation) reserve(router int, c ReserveCmd) {
	o := w.owners[c.Owner]
	v := o.table.Update(ReserveMsg{Now: w.age(o), Key: c.Key, Holder: c.Holder, CreatedAt: c.CreatedAt})
	w.inFlight = append(w.inFlight, func() {
		w.perform(router, w.routers[router].Update(VerdictMsg{Now: w.now, Owner: c.Owner, Request: c.Holder.Request, Verdict: v}))
	})
}

func (w *simulation) run(k Key) {
	w.runs[k]++
	if w.runs[k] > 1 {
		w.violation = "a key ran twice"
	}
}

// step does one thing, by chance. All keys are used within the window.
func (w *simulation) step(pick func(int) int) {
	switch pick(9) {
	case 0, 1:
		w.next++
		k := NewKey("team", "tag", fmt.Sprint(pick(3)))
		w.attempts[w.next] = k
		r := pick(len(w.routers))
		w.perform(r, w.routers[r].Update(AcquireMsg{
			Now: w.now, Holder: Holder{Router: fleet.Name(fmt.Sprint(r)), Request: w.next}, Key: k, Agents: w.agents,
		}))
	case 2, 3, 4:
		for range 6 {
			w.deliver(pick)
		}
	case 5:
		if n := len(w.inFlight); n > 0 { // repeat
			w.inFlight = append(w.inFlight, w.inFlight[pick(n)])
		}
	case 6:
		if n := len(w.inFlight); n > 0 { // lose
			i := pick(n)
			w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
		}
	case 7:
		w.start(w.agents[pick(len(w.agents))], w.now)
	case 8:
		w.now += time.Duration(pick(300)) * time.Millisecond
		for i, r := range w.routers {
			w.perform(i, r.Update(TickMsg{Now: w.now}))
		}
	}
}

func (w *simulation) deliver(pick func(int) int) {
	n := len(w.inFlight)
	if n == 0 {
		return
	}
	i := pick(n)
	f := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	f()
}

// TestKeysRunOnce holds that a key runs at most once whichever routers its
// caller tries, while owners restart with no state and messages are lost,
// repeated and reordered.
func TestKeysRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(false)
		for range 150 {
			w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
			if w.violation != "" {
				rt.Fatal(w.violation)
			}
		}
	})
}

// TestForgetfulOwnersAreCaught shows the test above failing when owners vouch
// for times that they have no memory of.
func TestForgetfulOwnersAreCaught(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := newSimulation(true)
		for range 150 {
			w.step(rng.IntN)
		}
		if w.violation != "" {
			return
		}
	}
	t.Fatal("no key ran twice")
}

func acquire(t *testing.T, w *simulation, createdAt time.Time) []Command {
	t.Helper()
	w.next++
	k := NewKey("team", "tag", fmt.Sprint("k", w.next))
	w.attempts[w.next] = k
	w.perform(0, w.routers[0].Update(AcquireMsg{Now: w.now, Holder: Holder{Request: w.next}, Key: k, Agents: w.agents, CreatedAt: createdAt}))
	for len(w.inFlight) > 0 {
		w.deliver(func(int) int { return 0 })
	}
	return nil
}

// TestYoungFleetNeedsTheTimeOfTheKey holds that after a start of the whole
// fleet a key runs only if its caller says that it was made since.
func TestYoungFleetNeedsTheTimeOfTheKey(t *testing.T) {
	w := newSimulation(false)
	for _, n := range w.agents {
		w.start(n, w.now)
	}
	w.now += time.Minute
	acquire(t, w, time.Time{})
	require.Empty(t, w.runs)
	acquire(t, w, w.startedAt.Add(w.now-2*time.Minute))
	require.Empty(t, w.runs, "made before the start")
	acquire(t, w, w.startedAt.Add(w.now))
	require.Len(t, w.runs, 1)
}

// TestNewOwnersDoNotVouch changes the pool: an agent that became an owner of a
// key by it does not vouch for the time before.
func TestNewOwnersDoNotVouch(t *testing.T) {
	m := NewKeyTable(KeyTableConfig{Self: "new"})
	m.Update(PoolMsg{Now: 0, Work: "tag", Agents: []fleet.Name{"a", "b", "c", "d"}})
	m.Update(PoolMsg{Now: 3 * KeyTTL, Work: "tag", Agents: []fleet.Name{"new"}})
	k := NewKey("team", "tag", "k")
	require.Equal(t, VerdictUncertain, m.Update(ReserveMsg{Now: 3*KeyTTL + time.Second, Key: k, Holder: Holder{Request: 1}}))
	require.Equal(t, VerdictReserved, m.Update(ReserveMsg{Now: 4*KeyTTL + time.Second, Key: k, Holder: Holder{Request: 1}}))
}

// TestReleasedKeysCanBeReused holds that a refused request does not use up
// its key, and that only its holder releases it.
func TestReleasedKeysCanBeReused(t *testing.T) {
	m := NewKeyTable(KeyTableConfig{Self: "a"})
	m.Update(PoolMsg{Work: "tag", Agents: []fleet.Name{"a"}})
	k := NewKey("team", "tag", "k")
	now := 2 * KeyTTL
	require.Equal(t, VerdictReserved, m.Update(ReserveMsg{Now: now, Key: k, Holder: Holder{Request: 1}}))
	m.Update(ReleaseMsg{Now: now, Key: k, Holder: Holder{Request: 2}})
	require.Equal(t, VerdictDuplicate, m.Update(ReserveMsg{Now: now, Key: k, Holder: Holder{Request: 2}}))
	m.Update(ReleaseMsg{Now: now, Key: k, Holder: Holder{Request: 1}})
	require.Equal(t, VerdictReserved, m.Update(ReserveMsg{Now: now, Key: k, Holder: Holder{Request: 2}}))
}
