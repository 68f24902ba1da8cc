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

// onceWorld is routers and owners with a network that delays, loses and
// repeats, owners that restart with no state, and pools that change.
type onceWorld struct {
	now      time.Duration
	began    time.Time
	pool     []fleet.Name
	owners   map[fleet.Name]*onceOwner
	routers  []*Coordinator
	mail     []func()
	runs     map[Key]int
	next     uint64
	attempts map[uint64]Key
	forgets  bool // owners vouch for what they can't know
	broken   string
}

type onceOwner struct {
	m       *KeyTable
	started time.Duration
}

func newOnceWorld(forgets bool) *onceWorld {
	w := &onceWorld{
		now: 2 * KeyTTL, began: time.Unix(1_000_000, 0), owners: map[fleet.Name]*onceOwner{},
		runs: map[Key]int{}, attempts: map[uint64]Key{}, forgets: forgets,
		routers: []*Coordinator{NewCoordinator(), NewCoordinator()},
	}
	for i := range 5 {
		n := fleet.Name(fmt.Sprintf("app-%d", i))
		w.pool = append(w.pool, n)
	}
	for _, n := range w.pool {
		w.start(n, 0)
	}
	return w
}

// start starts an owner with no state at a time.
func (w *onceWorld) start(n fleet.Name, at time.Duration) {
	cfg := KeyTableConfig{Self: n, StartedAt: w.began.Add(at)}
	o := &onceOwner{m: NewKeyTable(cfg), started: at}
	if w.forgets {
		o.started -= 3 * KeyTTL // it takes itself for older than it is
	}
	o.m.Update(PoolMsg{Work: "tag", Agents: w.pool})
	w.owners[n] = o
}

func (w *onceWorld) since(o *onceOwner) time.Duration { return w.now - o.started }

func (w *onceWorld) do(router int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case ReserveCmd:
			w.mail = append(w.mail, func() { w.reserve(router, c) })
		case ReleaseCmd:
			w.mail = append(w.mail, func() {
				o := w.owners[c.Owner]
				o.m.Update(ReleaseMsg{Now: w.since(o), Key: c.Key, Holder: c.Holder})
			})
		case DecideCmd:
			if c.Decision == DecisionRun {
				w.run(w.attempts[c.Request])
			}
		}
	}
}

func (w *onceWorld) reserve(router int, c ReserveCmd) {
	o := w.owners[c.Owner]
	v := o.m.Update(ReserveMsg{Now: w.since(o), Key: c.Key, Holder: c.Holder, CreatedAt: c.CreatedAt})
	w.mail = append(w.mail, func() {
		w.do(router, w.routers[router].Update(VerdictMsg{Now: w.now, Owner: c.Owner, Request: c.Holder.Request, Verdict: v}))
	})
}

func (w *onceWorld) run(k Key) {
	w.runs[k]++
	if w.runs[k] > 1 {
		w.broken = "a key ran twice"
	}
}

// step does one thing, by chance. All keys are used within the window.
func (w *onceWorld) step(pick func(int) int) {
	switch pick(9) {
	case 0, 1:
		w.next++
		k := NewKey("team", "tag", fmt.Sprint(pick(3)))
		w.attempts[w.next] = k
		r := pick(len(w.routers))
		w.do(r, w.routers[r].Update(AcquireMsg{
			Now: w.now, Holder: Holder{Router: fleet.Name(fmt.Sprint(r)), Request: w.next}, Key: k, Agents: w.pool,
		}))
	case 2, 3, 4:
		for range 6 {
			w.deliver(pick)
		}
	case 5:
		if n := len(w.mail); n > 0 { // repeat
			w.mail = append(w.mail, w.mail[pick(n)])
		}
	case 6:
		if n := len(w.mail); n > 0 { // lose
			i := pick(n)
			w.mail = append(w.mail[:i:i], w.mail[i+1:]...)
		}
	case 7:
		w.start(w.pool[pick(len(w.pool))], w.now)
	case 8:
		w.now += time.Duration(pick(300)) * time.Millisecond
		for i, r := range w.routers {
			w.do(i, r.Update(TickMsg{Now: w.now}))
		}
	}
}

func (w *onceWorld) deliver(pick func(int) int) {
	n := len(w.mail)
	if n == 0 {
		return
	}
	i := pick(n)
	f := w.mail[i]
	w.mail = append(w.mail[:i:i], w.mail[i+1:]...)
	f()
}

// TestKeysRunOnce holds that a key runs at most once whichever routers its
// caller tries, while owners restart with no state and messages are lost,
// repeated and reordered.
func TestKeysRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newOnceWorld(false)
		for range 150 {
			w.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
			if w.broken != "" {
				rt.Fatal(w.broken)
			}
		}
	})
}

// TestForgetfulOwnersAreCaught shows the test above failing when owners vouch
// for times that they have no memory of.
func TestForgetfulOwnersAreCaught(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := newOnceWorld(true)
		for range 150 {
			w.step(rng.IntN)
		}
		if w.broken != "" {
			return
		}
	}
	t.Fatal("no key ran twice")
}

func ask(t *testing.T, w *onceWorld, made time.Time) []Command {
	t.Helper()
	w.next++
	k := NewKey("team", "tag", fmt.Sprint("k", w.next))
	w.attempts[w.next] = k
	w.do(0, w.routers[0].Update(AcquireMsg{Now: w.now, Holder: Holder{Request: w.next}, Key: k, Agents: w.pool, CreatedAt: made}))
	for len(w.mail) > 0 {
		w.deliver(func(int) int { return 0 })
	}
	return nil
}

// TestYoungFleetNeedsTheTimeOfTheKey holds that after a start of the whole
// fleet a key runs only if its caller says that it was made since.
func TestYoungFleetNeedsTheTimeOfTheKey(t *testing.T) {
	w := newOnceWorld(false)
	for _, n := range w.pool {
		w.start(n, w.now)
	}
	w.now += time.Minute
	ask(t, w, time.Time{})
	require.Empty(t, w.runs)
	ask(t, w, w.began.Add(w.now-2*time.Minute))
	require.Empty(t, w.runs, "made before the start")
	ask(t, w, w.began.Add(w.now))
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

// TestReleasedKeysMayComeAgain holds that a refused request does not use up
// its key, and that only its holder releases it.
func TestReleasedKeysMayComeAgain(t *testing.T) {
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
