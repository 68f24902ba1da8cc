package direct

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxPartCrashes and maxBarDelay are the aim: no request with a deadly part is sent later than
	// maxBarDelay after it has crashed maxPartCrashes servers.
	maxPartCrashes = 5
	maxBarDelay    = time.Second
	// minSoundShare is the share of the sound requests of a class that must not be refused.
	minSoundShare = 0.9
)

// checkBegan checks that sound requests began at their first attempt nearly as often as before servers
// crashed. The totals include the requests before.
func (totals soundTotals) checkBegan(t *testing.T, before soundTotals) {
	for _, name := range []string{"sound", "seldom"} {
		all, calm := totals[name], before[name]
		share := float64(all.began-calm.began) / float64(all.sent-calm.sent)
		calmShare := float64(calm.began) / float64(calm.sent)
		t.Logf("%s: %.3f began at the first attempt, %.3f before", name, share, calmShare)
		require.GreaterOrEqual(t, share, minSoundShare*calmShare, name)
	}
}

// checkDeadly checks that a part was barred in time.
func (sim *partSim) checkDeadly(part uint64, seed uint64) {
	crashes := sim.crashedBy[part]
	if len(crashes) < maxPartCrashes {
		return
	}
	fifth := crashes[maxPartCrashes-1]
	late := 0
	for _, at := range sim.sends[part] {
		if at > fifth+maxBarDelay {
			late++
		}
	}
	require.Zero(sim.t, late, "seed %d: sends of part %x later than %v after its fifth crash at %v; crashes %v, sends %v", seed, part, maxBarDelay, fifth, crashes, sim.sends[part])
}

// soundTotals adds up the requests of several simulations, since a single one has few of the seldom
// part.
type soundTotals map[string]partClass

// add checks that hardly any sound request of a simulation was refused because of crashes, and adds
// up the requests of all classes.
func (totals soundTotals) add(sim *partSim, seed uint64) {
	c := sim.class("sound")
	require.LessOrEqual(sim.t, float64(c.barred), (1-minSoundShare)*float64(c.sent), "seed %d: %+v; crashes %v; %v", seed, *c, sim.crashedBy, sim.changes)
	for name, c := range sim.classes {
		total := totals[name]
		total.sent += c.sent
		total.began += c.began
		total.barred += c.barred
		totals[name] = total
	}
}

// check checks the requests of all simulations together.
func (totals soundTotals) check(t *testing.T) {
	for _, name := range []string{"sound", "seldom"} {
		total := totals[name]
		t.Logf("%s: %d of %d refused because of crashes", name, total.barred, total.sent)
		require.LessOrEqual(t, float64(total.barred), (1-minSoundShare)*float64(total.sent), name)
	}
}

// run advances the simulation, with sound requests at the given rate per second and a step of the
// scenario in between.
func (sim *partSim) run(length time.Duration, rate float64, step func()) {
	for end := sim.now + length; sim.now < end; {
		sim.sendSound(rate)
		step()
		sim.step()
	}
}

// sendDeadly sends a request with a deadly part in this step, four times a second on average.
func (sim *partSim) sendDeadly(part uint64) {
	if sim.every(4) {
		sim.send("deadly", partCommon, part, partSubject+uint64(sim.random.IntN(40)))
	}
}

// every reports whether an event that happens about rate times a second happens in this step.
func (sim *partSim) every(rate float64) bool {
	return sim.random.Float64() < rate*TickInterval.Seconds()
}

// TestPartCrashesStayFew sends requests with a deadly part at several rates, at each place of the
// prompt, and always beside a sound part that is asked for seldom, with little other work and much.
func TestPartCrashesStayFew(t *testing.T) {
	worst, totals, before := 0, soundTotals{}, soundTotals{}
	for seed := range uint64(27) {
		sim := newPartSim(t, seed, 5, 3, 3)
		sim.deadly[partDeadly] = true
		rate := []float64{4, 40, 160}[seed%3]
		deadlyRate := []float64{1, 5, 30}[seed/3%3]
		place := int(seed / 9 % 3)
		sim.run(8*time.Second, rate, func() {})
		before.add(sim, seed)
		sim.run(40*time.Second, rate, func() {
			if sim.every(deadlyRate) {
				parts := []uint64{partCommon, partMiddle + uint64(sim.random.IntN(3)), partSeldom}
				parts[place] = partDeadly
				if place == 2 {
					parts[1] = partSeldom
				}
				sim.send("deadly", parts...)
			}
		})
		worst = max(worst, len(sim.crashedBy[partDeadly]))
		t.Logf("seed %d (%g/s, deadly %g/s): %d crashes of %d sends", seed, rate, deadlyRate, len(sim.crashedBy[partDeadly]), len(sim.sends[partDeadly]))
		sim.checkDeadly(partDeadly, seed)
		totals.add(sim, seed)
	}
	t.Logf("at most %d crashes", worst)
	totals.checkBegan(t, before)
	totals.check(t)
}

// TestTwoDeadlyParts has two deadly parts at the same time, or one after the other.
func TestTwoDeadlyParts(t *testing.T) {
	totals := soundTotals{}
	for seed := range uint64(16) {
		sim := newPartSim(t, seed, 5, 3, 3)
		sim.deadly[partDeadly], sim.deadly[partDeadly+1] = true, true
		started := sim.now + 8*time.Second
		sim.run(30*time.Second, 60, func() {
			for i := range uint64(2) {
				if sim.now > started+time.Duration(i*(seed%2)*10)*time.Second {
					sim.sendDeadly(partDeadly + i)
				}
			}
		})
		sim.checkDeadly(partDeadly, seed)
		sim.checkDeadly(partDeadly+1, seed)
		totals.add(sim, seed)
	}
	totals.check(t)
}

// TestPartTurnsDeadly has a part that many requests have had with success crash servers from some
// moment on.
func TestPartTurnsDeadly(t *testing.T) {
	totals := soundTotals{}
	for seed := range uint64(16) {
		sim := newPartSim(t, seed, 5, 3, 3)
		sim.run(20*time.Second, 60, func() {
			if sim.now > 9*time.Second {
				sim.deadly[partDeadly] = true
			}
			sim.sendDeadly(partDeadly)
		})
		t.Logf("seed %d: %d crashes", seed, len(sim.crashedBy[partDeadly]))
		sim.checkDeadly(partDeadly, seed)
		totals.add(sim, seed)
	}
	totals.check(t)
}

// TestHallFailureBarsNothing has all servers of a data hall crash at the same moment, and soon after
// those of another one.
func TestHallFailureBarsNothing(t *testing.T) {
	for seed := range uint64(16) {
		sim := newPartSim(t, seed, 5, 3, []int{3, 8}[seed%2])
		rate := []float64{4, 40, 160}[seed%3]
		sim.run(6*time.Second, rate, func() {})
		for hall := range 2 {
			sim.crashHall(hall)
			sim.run(3*time.Second, rate, func() {})
		}
		require.Empty(t, sim.changes, "seed %d", seed)
	}
}

// TestCrashSeriesBarsNothing has random servers crash by themselves, one after the other. Up to two a
// second of nine or 24 bar nothing. With five a second, a third of the attempts break, so a few parts
// have only those for some time.
func TestCrashSeriesBarsNothing(t *testing.T) {
	for _, c := range []struct{ seriesRate, maxBarred float64 }{{0.5, 0}, {2, 0.01}, {5, 1 - minSoundShare}} {
		total := partClass{}
		for seed := range uint64(12) {
			sim := newPartSim(t, seed, 5, 3, []int{3, 8}[seed%2])
			rate := []float64{4, 40, 160}[seed%3]
			sim.run(6*time.Second, rate, func() {})
			sim.run(12*time.Second, rate, func() {
				if sim.every(c.seriesRate) {
					sim.crashAny()
				}
			})
			for _, name := range []string{"sound", "seldom"} {
				total.sent += sim.class(name).sent
				total.barred += sim.class(name).barred
			}
		}
		t.Logf("%g crashes a second: %d of %d refused", c.seriesRate, total.barred, total.sent)
		require.LessOrEqual(t, float64(total.barred), c.maxBarred*float64(total.sent), "%g crashes a second", c.seriesRate)
	}
}

// crashHall crashes all servers of a hall.
func (sim *partSim) crashHall(hall int) {
	for _, s := range slices.Clone(sim.directory.Servers) {
		if server := sim.servers[s.ID]; !server.dead && s.Zone == sim.directory.Servers[hall].Zone {
			sim.crash(server)
		}
	}
}

// crashAny crashes a random server.
func (sim *partSim) crashAny() {
	s := sim.directory.Servers[sim.random.IntN(len(sim.directory.Servers))]
	if server := sim.servers[s.ID]; !server.dead {
		sim.crash(server)
	}
}

// TestPartStaysBarredOverRestarts kills routers while a deadly part is sent, one by one or all at
// once, also while the store is away.
func TestPartStaysBarredOverRestarts(t *testing.T) {
	totals := soundTotals{}
	for seed := range uint64(16) {
		sim := newPartSim(t, seed, 5, 3, 3)
		sim.deadly[partDeadly] = true
		sim.run(5*time.Second, 40, func() {})
		all := seed%2 == 0
		sim.storeDown = !all && seed%4 == 1
		sim.run(25*time.Second, 40, func() {
			sim.sendDeadly(partDeadly)
			switch {
			case all && sim.now%(10*time.Second) == 0:
				for i := range sim.routers {
					sim.startRouter(i)
				}
			case !all && sim.now%(2*time.Second) == 0:
				sim.startRouter(sim.random.IntN(len(sim.routers)))
			}
		})
		t.Logf("seed %d: %d crashes", seed, len(sim.crashedBy[partDeadly]))
		sim.checkDeadly(partDeadly, seed)
		totals.add(sim, seed)
	}
	totals.check(t)
}
