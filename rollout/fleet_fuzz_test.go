package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// faultyFleet is a fleet with random faults until the last third of an order's time.
type faultyFleet struct {
	*sim
	ordersMade int
	// clockStepped is set once the wall clock was stepped, routersLost once routers were lost.
	// Only both together can give the fleet a wrong age of an order.
	clockStepped, routersLost bool
	bad                       bool // all versions but the old one are bad
}

func (d *faultyFleet) router(t *rapid.T) *simRouter {
	return rapid.SampledFrom(d.routers).Draw(t, "router")
}

func (d *faultyFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			require.Empty(t, d.fault)
		},
		"time": func(t *rapid.T) {
			d.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * TickInterval)
		},
		"more time": func(t *rapid.T) {
			d.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * TickInterval)
		},
		"pause": func(t *rapid.T) {
			r := d.router(t)
			r.paused = !r.paused
		},
		"cut": func(t *rapid.T) {
			r := d.router(t)
			r.partitioned = !r.partitioned
		},
		"a second leader": func(t *rapid.T) {
			r := d.router(t)
			r.leads = !r.leads
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(d.routers)-1).Draw(t, "router")
			d.routers[i] = d.newRouter()
			d.routersLost = true
		},
		"restart all": func(t *rapid.T) {
			d.restartAll()
			d.routersLost = true
		},
		"store down":     func(t *rapid.T) { d.store.down = !d.store.down },
		"answers lost":   func(t *rapid.T) { d.store.losesReplies = !d.store.losesReplies },
		"writes late":    func(t *rapid.T) { d.store.delaysWrites = !d.store.delaysWrites },
		"late writes":    func(t *rapid.T) { d.store.applyDelayed() },
		"wall clock":     d.stepWallClock,
		"never ordered":  func(t *rapid.T) { d.versions = append(d.versions, "never") },
		"order replaced": func(t *rapid.T) { d.replaceOrder(t, "m") },
		"order deleted":  func(t *rapid.T) { d.store.order = nil },
		"order anew": func(t *rapid.T) {
			d.store.order = nil
			d.tick()
			d.replaceOrder(t, "m")
		},
	}
}

func (d *faultyFleet) stepWallClock(t *rapid.T) {
	step := time.Duration(rapid.IntRange(-60, 5).Draw(t, "seconds")) * time.Second
	d.wallOffset += step
	d.clockStepped = true
}

func (d *faultyFleet) replaceOrder(t *rapid.T, made string) {
	target := rapid.SampledFrom([]string{newVersion, "v3", "v4"}).Draw(t, "target")
	if d.store.order != nil && d.store.order.Target == target {
		return
	}
	if d.store.order == nil {
		d.ordersMade++ // each Order.Made is used once
	}
	d.placeRecordedOrder(target, fmt.Sprint(made, d.ordersMade))
}

// placeRecordedOrder places an order and runs the fleet without store faults until a router has
// received and recorded it: the age of an order that no router has received is unknown.
func (d *faultyFleet) placeRecordedOrder(target, made string) {
	before := *d.store
	d.store.down, d.store.losesReplies, d.store.delaysWrites = false, false, false
	d.routers[0].paused, d.routers[0].partitioned = false, false
	d.placeOrder(target, made, simWithin)
	d.run(3 * time.Second)
	d.store.down, d.store.losesReplies, d.store.delaysWrites = before.down, before.losesReplies, before.delaysWrites
}

func (d *faultyFleet) endFaults() {
	d.store.down, d.store.losesReplies, d.store.delaysWrites = false, false, false
	for _, r := range d.routers {
		r.paused, r.partitioned, r.leads = false, false, false
	}
}

// TestRolloutFleetFuzz injects random faults of routers, store, clocks and orders, and none in
// the last third of the order's time: no invariant may be violated, a good version is completed
// in time and a bad one is rolled back.
func TestRolloutFleetFuzz(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := &faultyFleet{sim: newSim(rapid.IntRange(1, 4).Draw(t, "routers"), 1)}
		d.bad = rapid.Bool().Draw(t, "bad")
		if d.bad {
			for _, v := range []string{newVersion, "v3", "v4"} {
				d.badRate[v] = 0.4
			}
		}
		d.run(500 * time.Millisecond)
		d.placeRecordedOrder(newVersion, "m")
		t.Repeat(d.actions())
		faultsEndAt := d.orderAt + simWithin*2/3
		late := d.now > faultsEndAt
		if !late {
			d.run(faultsEndAt - d.now)
		}
		d.endFaults()
		require.Empty(t, d.fault)
		if d.store.order == nil {
			return
		}
		d.store.applyDelayed()
		d.run(max(0, d.orderAt+simWithin-d.now))
		require.Empty(t, d.fault)
		ageUnknown := d.clockStepped && d.routersLost
		if !d.bad && !ageUnknown && !late {
			require.Equal(t, Completed, d.status())
		}
		d.run(3 * time.Second)
		if ageUnknown {
			d.run(simWithin)
		}
		require.Empty(t, d.fault)
		if d.bad {
			require.Equal(t, RolledBack, d.status())
		}
		require.True(t, d.status().Final())
		for _, r := range d.routers {
			require.Empty(t, r.gate.Target)
		}
	})
}
