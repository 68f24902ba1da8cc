package main

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// spreadLimit is when a bundle that has not spread is given up on.
const spreadLimit = 10 * time.Second

// measureSpread rolls a bundle that differs in one limit and waits until every
// process has it in force.
func (f *labFleet) measureSpread(ctx context.Context, c cli, r *Report) {
	b := f.bundle(c)
	b.Limits.MaxWaiting = 19_999
	order, err := f.lab.Roll(ctx, b)
	if err != nil {
		return
	}
	began := time.Now()
	for time.Since(began) < spreadLimit && !f.everywhere(ctx, order.Generation) {
		time.Sleep(time.Millisecond)
	}
	r.SpreadMS = float64(time.Since(began).Microseconds()) / 1000
}

func (f *labFleet) everywhere(ctx context.Context, g fleet.Generation) bool {
	for _, p := range f.lab.Routers() {
		if s, err := f.lab.RouterState(ctx, p); err != nil || s.Generation < g {
			return false
		}
	}
	for _, p := range f.lab.Agents() {
		if s, err := f.lab.AgentState(ctx, p); err != nil || s.Generation < g {
			return false
		}
	}
	return true
}
