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

// simulation runs routers and owners over a network that delays, loses and
// repeats messages, with owners that restart without state.
type simulation struct {
	now               time.Duration
	startedAt         time.Time
	agents            []fleet.Name
	owners            map[fleet.Name]*simOwner
	routers           []*Coordinator
	inFlight          []func()
	runs              map[Key]int
	lastRequest       uint64
	attempts          map[uint64]Key
	overclaimsHistory bool // owners claim a longer history than they have
	violation         string
}

type simOwner struct {
	table     *KeyTable
	startedAt time.Duration
}

func newSimulation(overclaimsHistory bool) *simulation {
	s := &simulation{
		now: 2 * KeyTTL, startedAt: time.Unix(1_000_000, 0), owners: map[fleet.Name]*simOwner{},
		runs: map[Key]int{}, attempts: map[uint64]Key{}, overclaimsHistory: overclaimsHistory,
		routers: []*Coordinator{NewCoordinator(), NewCoordinator()},
	}
	for i := range 5 {
		n := fleet.Name(fmt.Sprintf("app-%d", i))
		s.agents = append(s.agents, n)
	}
	for _, n := range s.agents {
		s.start(n, 0)
	}
	return s
}

// start starts an owner without state at the given time.
func (s *simulation) start(n fleet.Name, at time.Duration) {
	cfg := KeyTableConfig{Self: n, StartedAt: s.startedAt.Add(at)}
	o := &simOwner{table: NewKeyTable(cfg), startedAt: at}
	if s.overclaimsHistory {
		o.startedAt -= 3 * KeyTTL // the owner assumes that it started earlier than it did
	}
	o.table.Update(PoolMsg{Work: "tag", Agents: s.agents})
	s.owners[n] = o
}

// age returns the time since an owner started, by its own account.
func (s *simulation) age(o *simOwner) time.Duration { return s.now - o.startedAt }

func (s *simulation) perform(router int, cmds []Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case ReserveCmd:
			s.inFlight = append(s.inFlight, func() { s.reserve(router, c) })
		case ReleaseCmd:
			s.inFlight = append(s.inFlight, func() {
				o := s.owners[c.Owner]
				o.table.Update(ReleaseMsg{Now: s.age(o), Key: c.Key, Holder: c.Holder})
			})
		case DecideCmd:
			if c.Decision == DecisionRun {
				s.run(s.attempts[c.Request])
			}
		}
	}
}

func (s *simulation) reserve(router int, c ReserveCmd) {
	o := s.owners[c.Owner]
	v := o.table.Update(ReserveMsg{Now: s.age(o), Key: c.Key, Holder: c.Holder, CreatedAt: c.CreatedAt})
	s.inFlight = append(s.inFlight, func() {
		s.perform(router, s.routers[router].Update(VerdictMsg{Now: s.now, Owner: c.Owner, Request: c.Holder.Request, Verdict: v}))
	})
}

func (s *simulation) run(k Key) {
	s.runs[k]++
	if s.runs[k] > 1 {
		s.violation = "a key ran twice"
	}
}

// step performs one random event. All uses of a key lie within KeyTTL.
func (s *simulation) step(pick func(int) int) {
	switch pick(9) {
	case 0, 1:
		s.lastRequest++
		k := NewKey("team", "tag", fmt.Sprint(pick(3)))
		s.attempts[s.lastRequest] = k
		r := pick(len(s.routers))
		s.perform(r, s.routers[r].Update(AcquireMsg{
			Now: s.now, Holder: Holder{Router: fleet.Name(fmt.Sprint(r)), Request: s.lastRequest}, Key: k, Agents: s.agents,
		}))
	case 2, 3, 4:
		for range 6 {
			s.deliver(pick)
		}
	case 5:
		if n := len(s.inFlight); n > 0 { // repeat a message
			s.inFlight = append(s.inFlight, s.inFlight[pick(n)])
		}
	case 6:
		if n := len(s.inFlight); n > 0 { // lose a message
			i := pick(n)
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
		}
	case 7:
		s.start(s.agents[pick(len(s.agents))], s.now)
	case 8:
		s.now += time.Duration(pick(300)) * time.Millisecond
		for i, r := range s.routers {
			s.perform(i, r.Update(TickMsg{Now: s.now}))
		}
	}
}

func (s *simulation) deliver(pick func(int) int) {
	n := len(s.inFlight)
	if n == 0 {
		return
	}
	i := pick(n)
	f := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	f()
}

// TestKeysRunOnce checks that a key runs at most once, whichever routers its
// caller tries, while owners restart without state and messages are lost,
// repeated and reordered.
func TestKeysRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(false)
		for range 150 {
			s.step(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
			if s.violation != "" {
				rt.Fatal(s.violation)
			}
		}
	})
}

// TestForgetfulOwnersAreCaught checks that the simulation detects a key that
// runs twice if owners claim a longer history than they have.
func TestForgetfulOwnersAreCaught(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		s := newSimulation(true)
		for range 150 {
			s.step(rng.IntN)
		}
		if s.violation != "" {
			return
		}
	}
	t.Fatal("no key ran twice, so the simulation would not detect the fault")
}

// acquire submits a request with a new key to the first router and delivers all
// messages.
func acquire(t *testing.T, s *simulation, createdAt time.Time) []Command {
	t.Helper()
	s.lastRequest++
	k := NewKey("team", "tag", fmt.Sprint("k", s.lastRequest))
	s.attempts[s.lastRequest] = k
	s.perform(0, s.routers[0].Update(AcquireMsg{Now: s.now, Holder: Holder{Request: s.lastRequest}, Key: k, Agents: s.agents, CreatedAt: createdAt}))
	for len(s.inFlight) > 0 {
		s.deliver(func(int) int { return 0 })
	}
	return nil
}

// TestYoungFleetNeedsTheTimeOfTheKey checks that after a start of the whole
// fleet a key runs only if the caller reports that it was created after the
// start.
func TestYoungFleetNeedsTheTimeOfTheKey(t *testing.T) {
	s := newSimulation(false)
	for _, n := range s.agents {
		s.start(n, s.now)
	}
	s.now += time.Minute
	acquire(t, s, time.Time{})
	require.Empty(t, s.runs)
	acquire(t, s, s.startedAt.Add(s.now-2*time.Minute))
	require.Empty(t, s.runs, "the key was created before the start")
	acquire(t, s, s.startedAt.Add(s.now))
	require.Len(t, s.runs, 1)
}

// TestNewOwnersDoNotVouch checks that an agent that became an owner of a key
// through a pool change returns VerdictUncertain until it has owned the key for
// KeyTTL.
func TestNewOwnersDoNotVouch(t *testing.T) {
	table := NewKeyTable(KeyTableConfig{Self: "new"})
	table.Update(PoolMsg{Now: 0, Work: "tag", Agents: []fleet.Name{"a", "b", "c", "d"}})
	table.Update(PoolMsg{Now: 3 * KeyTTL, Work: "tag", Agents: []fleet.Name{"new"}})
	k := NewKey("team", "tag", "k")
	require.Equal(t, VerdictUncertain, table.Update(ReserveMsg{Now: 3*KeyTTL + time.Second, Key: k, Holder: Holder{Request: 1}}))
	require.Equal(t, VerdictReserved, table.Update(ReserveMsg{Now: 4*KeyTTL + time.Second, Key: k, Holder: Holder{Request: 1}}))
}

// TestReleasedKeysCanBeReused checks that the key of a request that did not run
// can be reserved again, and that only the holder can release a key.
func TestReleasedKeysCanBeReused(t *testing.T) {
	table := NewKeyTable(KeyTableConfig{Self: "a"})
	table.Update(PoolMsg{Work: "tag", Agents: []fleet.Name{"a"}})
	k := NewKey("team", "tag", "k")
	now := 2 * KeyTTL
	require.Equal(t, VerdictReserved, table.Update(ReserveMsg{Now: now, Key: k, Holder: Holder{Request: 1}}))
	table.Update(ReleaseMsg{Now: now, Key: k, Holder: Holder{Request: 2}})
	require.Equal(t, VerdictDuplicate, table.Update(ReserveMsg{Now: now, Key: k, Holder: Holder{Request: 2}}))
	table.Update(ReleaseMsg{Now: now, Key: k, Holder: Holder{Request: 1}})
	require.Equal(t, VerdictReserved, table.Update(ReserveMsg{Now: now, Key: k, Holder: Holder{Request: 2}}))
}
