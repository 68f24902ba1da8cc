package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simWithin is the time from an order to its deadline in most tests.
const simWithin = 30 * time.Second

// TestRolloutOfTheOrder verifies the final state of rollouts, depending on what happens to the
// order, the version and its servers.
func TestRolloutOfTheOrder(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		act   func(s *sim)
		state State
		inUse []string
	}{
		{"good version", func(*sim) {}, Completed, []string{newVersion}},
		{"bad version", func(s *sim) { s.badRate[newVersion] = 0.4 }, RolledBack, []string{oldVersion}},
		{"turns bad midway", func(s *sim) {
			s.run(simWithin / 2)
			s.badRate[newVersion] = 0.4
		}, RolledBack, []string{oldVersion}},
		{"turns bad in the ramp", func(s *sim) {
			s.run(newTimeline(simWithin).stageAt(Half))
			s.badRate[newVersion] = 0.4
		}, RolledBack, []string{oldVersion}},
		{"no server ever comes", func(s *sim) { s.versions = []string{oldVersion} }, RolledBack, []string{oldVersion}},
		{"servers vanish in the trial", func(s *sim) {
			s.run(simWithin / 3)
			s.versions = []string{oldVersion}
		}, RolledBack, []string{oldVersion}},
		{"servers vanish at the end", func(s *sim) {
			s.run(newTimeline(simWithin).stageAt(All) + 200*time.Millisecond)
			s.oldDrains = false
			s.versions = []string{oldVersion}
		}, RolledBack, []string{oldVersion}},
		{"service leaves the lists", func(s *sim) {
			s.run(simWithin / 3)
			s.versions = nil
		}, RolledBack, []string{oldVersion}},
		{"target never answers", func(s *sim) { s.silentVersion = newVersion }, RolledBack, []string{oldVersion}},
		{"nobody calls", func(s *sim) { s.requestRate = 0 }, Completed, []string{newVersion}},
		{"few call", func(s *sim) { s.requestRate = 1 }, Completed, []string{newVersion}},
		{"old streams never end", func(s *sim) { s.oldDrains = false }, Completed, []string{newVersion}},
		{"repeated with another time", func(s *sim) {
			s.run(simWithin / 3)
			s.store.put(newVersion, "m1", simWithin+5*time.Second)
		}, Completed, []string{newVersion}},
		{"replaced midway", func(s *sim) {
			s.run(simWithin / 2)
			s.placeOrder("v3", "m1", simWithin)
		}, Completed, []string{"v3"}},
		{"replaced by the version in use", func(s *sim) {
			s.run(simWithin / 2)
			s.placeOrder(oldVersion, "m1", simWithin)
		}, Completed, []string{oldVersion}},
		{"replaced and put back", func(s *sim) {
			s.run(simWithin / 3)
			s.placeOrder("v3", "m1", simWithin)
			s.run(simWithin / 3)
			s.placeOrder(newVersion, "m1", simWithin)
		}, Completed, []string{newVersion}},
		{"replaced after it was completed", func(s *sim) {
			s.run(simWithin)
			s.placeOrder("v3", "m1", simWithin)
		}, Completed, []string{"v3"}},
		{"deleted midway", func(s *sim) {
			s.run(simWithin / 2)
			s.store.order = nil
		}, Ordered, []string{oldVersion}},
		{"deleted midway, made anew", func(s *sim) {
			s.run(simWithin / 2)
			s.store.order = nil
			s.run(time.Second)
			s.placeOrder(newVersion, "m2", simWithin)
		}, Completed, []string{newVersion}},
		{"deleted midway, the old one seen again", func(s *sim) {
			s.run(simWithin / 2)
			order := s.store.order
			s.store.order = nil
			s.run(time.Second)
			s.store.order = order
		}, RolledBack, []string{oldVersion}},
		{"rolled back, made anew when mended", func(s *sim) {
			s.badRate[newVersion] = 0.4
			s.run(simWithin)
			s.badRate[newVersion] = 0
			s.placeOrder(newVersion, "m2", simWithin)
		}, Completed, []string{newVersion}},
		{"no time", func(s *sim) { s.store.put(newVersion, "m1", 0) }, RolledBack, []string{oldVersion}},
		{"time below nothing", func(s *sim) { s.store.put(newVersion, "m1", -time.Second) }, RolledBack, []string{oldVersion}},
		{"no target", func(s *sim) { s.store.put("", "m1", simWithin) }, Ordered, []string{oldVersion}},
		{"short", func(s *sim) { s.store.put(newVersion, "m1", 6*time.Second) }, Completed, []string{newVersion}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSimWithOrder(1, 0, simWithin)
			c.act(s)
			left := simWithin + 10*time.Second
			if s.store.order != nil && c.state == Completed {
				left = s.store.order.Within - (s.now - s.orderAt)
			}
			s.run(left)
			require.Empty(t, s.fault)
			s.run(2 * time.Second)
			require.Equal(t, c.state, s.status())
			for _, r := range s.routers {
				require.Equal(t, c.inUse, r.gate.InUse)
			}
			require.Equal(t, c.inUse, s.store.record.InUse)
		})
	}
}

// TestRolloutOfOneVersionInUse verifies that an order for the only version in use, and for
// one of several, is completed soon and without a trial.
func TestRolloutOfOneVersionInUse(t *testing.T) {
	t.Parallel()
	s := newSim(3, 1)
	s.versions = []string{oldVersion, newVersion}
	s.run(time.Second)
	s.placeOrder(newVersion, "m1", simWithin)
	s.run(3 * time.Second)
	require.Equal(t, Completed, s.status())
	s.placeOrder(newVersion, "m2", simWithin)
	s.run(3 * time.Second)
	require.Equal(t, Completed, s.status())
}

// TestRolloutOrderDeletedWhileRoutersDown verifies how a rollout ends if only its record is left
// when the routers start: completed if only servers of its target are listed, else rejected.
func TestRolloutOrderDeletedWhileRoutersDown(t *testing.T) {
	t.Parallel()
	for _, versions := range [][]string{{newVersion}, {oldVersion, newVersion}} {
		s := newSimWithOrder(1, 0, simWithin)
		s.run(simWithin / 2)
		s.store.order = nil
		s.versions = versions
		s.restartAll()
		s.run(time.Second)
		require.Equal(t, versions[:1], s.routers[0].gate.InUse)
		require.Equal(t, versions[:1], s.store.record.InUse)
	}
}

// TestRolloutOrderSeenLate verifies that a stale copy of a completed order changes nothing.
func TestRolloutOrderSeenLate(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.run(time.Second)
	older := *s.store.order
	s.run(simWithin)
	require.Equal(t, Completed, s.status())
	r := s.routers[0]
	commands := r.machine.Update(OrdersMsg{Now: s.now, Orders: []Order{older}})
	require.Empty(t, commands)
	require.Empty(t, r.machine.Reports())
}

// TestRolloutOrderSeenLateMidway verifies that a stale copy of a running order causes no further
// write.
func TestRolloutOrderSeenLateMidway(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	older := *s.store.order
	s.run(time.Second)
	r := s.routers[0]
	require.Empty(t, r.machine.Update(OrdersMsg{Now: s.now, Orders: []Order{older}}))
	tick := TickMsg{Now: s.now, Wall: s.wallTime(), Leads: true, Routers: 3}
	require.Empty(t, r.machine.Update(tick))
}

// TestRolloutOrderWithMarkOfEarlierOne verifies that an order that was replaced by one with
// another Made is not started again when a stale copy of it arrives.
func TestRolloutOrderWithMarkOfEarlierOne(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.run(time.Second)
	earlier := *s.store.order
	s.placeOrder("v3", "m2", simWithin)
	s.run(time.Second)
	r := s.routers[0]
	require.Empty(t, r.machine.Update(OrdersMsg{Now: s.now, Orders: []Order{earlier}}))
	require.Equal(t, "v3", r.machine.Snapshots()[0].Target)
}

// TestRolloutOrderAfterUnrecordedOne verifies that the status of the previous order determines
// the version in use if the record was not updated.
func TestRolloutOrderAfterUnrecordedOne(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.run(simWithin / 2)
	s.store.order.State = Completed
	s.placeOrder("v3", "m1", simWithin)
	s.routers = []*simRouter{s.newRouter()}
	s.run(TickInterval)
	require.Equal(t, []string{newVersion}, s.routers[0].gate.InUse)
	require.Equal(t, "v3", s.routers[0].gate.Target)
}

// TestRolloutOrderDeletedRejects verifies that the target of an order that was deleted
// midway is among the rejected versions.
func TestRolloutOrderDeletedRejects(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.run(simWithin / 2)
	s.store.order = nil
	s.run(time.Second)
	require.Equal(t, []string{newVersion}, s.store.record.Rejected)
	require.Empty(t, s.store.record.Target)
}

// TestRolloutAgeFromPeers verifies that a router that starts late takes the order's age from
// its peers' reports rather than from the record.
func TestRolloutAgeFromPeers(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.run(simWithin / 2)
	s.routers[2] = s.newRouter()
	s.run(2 * TickInterval)
	age := s.routers[2].machine.Reports()[0].Age
	require.InDelta(t, simWithin/2, age, float64(time.Second))
}

// TestRolloutGivenUpWithoutProof verifies that a target without evidence gets no more than the
// trial, and is rolled back as soon as the remaining steps can't be done in time.
func TestRolloutGivenUpWithoutProof(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.silentVersion = newVersion
	s.run(newTimeline(simWithin).latestRampAt + time.Second)
	require.Equal(t, RolledBack, s.status())
	for _, step := range s.routers[0].steps {
		require.LessOrEqual(t, step.Stage, Trial)
	}
}

// TestRolloutUnorderedVersion verifies that servers of a version that nobody ordered get no
// requests, and that this is logged once.
func TestRolloutUnorderedVersion(t *testing.T) {
	t.Parallel()
	s := newSimWithOrder(1, 0, simWithin)
	s.versions = append(s.versions, "never")
	s.run(simWithin)
	require.Empty(t, s.fault)
	logged := 0
	for _, step := range s.routers[0].steps {
		if step.Step == StepUnordered && step.Cause == "never" {
			logged++
		}
	}
	require.Equal(t, 1, logged)
}

// TestRolloutDisabled verifies that without a bound on exposure nothing is done.
func TestRolloutDisabled(t *testing.T) {
	t.Parallel()
	m := NewMachine(Bounds{})
	require.Empty(t, m.Update(OrdersMsg{Orders: []Order{{Service: simService, Target: newVersion}}}))
	require.Empty(t, m.Update(RecordsMsg{}))
	require.Empty(t, m.Update(VersionsMsg{Services: map[string][]string{simService: {oldVersion}}}))
	require.Empty(t, m.Reports())
}
