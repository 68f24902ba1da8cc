package main

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/croftvale/croftvale/standin/caller"
)

// overheadRequests is how many requests go each way.
const overheadRequests = 400

// measureOverhead asks an idle fleet for the cheapest answer, through a router
// and straight from an engine, in turn, and compares the quantiles.
func (f *labFleet) measureOverhead(ctx context.Context, r *Report) {
	c := caller.New(caller.Team{Name: f.profile.teams[0].name, Key: f.keys[f.profile.teams[0].name]})
	through := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	direct := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	w := caller.Work{Model: workReport, Prompt: "overhead", Tokens: 0}
	router := f.lab.URL(f.lab.Routers()[0])
	server := f.lab.ServerURL(0)
	for range overheadRequests {
		if a := c.Complete(ctx, router, w); a.Kind == caller.Served {
			_ = through.RecordValue(a.Took.Microseconds())
		}
		if a := c.Complete(ctx, server, w); a.Kind == caller.Served {
			_ = direct.RecordValue(a.Took.Microseconds())
		}
		time.Sleep(time.Millisecond)
	}
	r.OverheadP50 = float64(through.ValueAtQuantile(50) - direct.ValueAtQuantile(50))
	r.OverheadP99 = float64(through.ValueAtQuantile(99) - direct.ValueAtQuantile(99))
}
