package main

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/croftvale/croftvale/internal/wait"
	"github.com/croftvale/croftvale/standin/caller"
	"github.com/croftvale/croftvale/standin/lab"
)

const (
	// costShape is the exponent of the bounded Pareto distribution of costs.
	costShape = 1.5
	// streamed is the part of the answers that come token by token.
	streamed = 0.25
	// athome is the part of a team's requests that go to its own router.
	athome = 0.7
	// patience is when a caller gives up: an answer that takes longer is lost.
	patience = 90 * time.Second
	// grudge bounds how long a refused caller stays away, whatever it is told.
	grudge = 2 * time.Second
	// appBody is the size of an app call's body, in bytes.
	appBody = 200
)

// measureLoad lets every team ask, breaks things, and judges.
func (f *labFleet) measureLoad(ctx context.Context, c cli, r *Report) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for ti, t := range f.profile.teams {
		for i := range t.callers {
			rng := rand.New(rand.NewPCG(c.Seed, uint64(ti)<<32|uint64(i)))
			wg.Go(func() { f.ask(ctx, t, ti, rng) })
		}
	}
	wait.Sleep(ctx, time.Duration(c.Warm)*time.Second)
	f.judge.begin()
	before := f.traffic(ctx)
	faults := newFaults(f, c.Faults, c.Seed)
	faultsDone := make(chan struct{})
	faultCtx, stopFaults := context.WithTimeout(ctx, time.Duration(c.Seconds)*time.Second)
	defer stopFaults()
	go func() {
		defer close(faultsDone)
		faults.run(faultCtx)
	}()
	f.judge.sample(faultCtx)
	after := f.traffic(ctx)
	<-faultsDone
	stop()
	wg.Wait()
	r.traffic(before, after, float64(c.Seconds))
	f.judge.report(f, r)
}

// ask is one caller: one request after another.
func (f *labFleet) ask(ctx context.Context, t teamProfile, home int, rng *rand.Rand) {
	c := caller.New(caller.Team{Name: t.name, Key: f.keys[t.name]})
	routers := f.lab.Routers()
	for ctx.Err() == nil {
		p := routers[home%len(routers)]
		if rng.Float64() > athome {
			p = routers[rng.IntN(len(routers))]
		}
		a := f.askOnce(c, t, p, rng)
		if a.Kind == caller.Refused {
			wait.Sleep(ctx, min(a.RetryAfter, grudge))
		}
		if a.Kind == caller.Broken {
			wait.Sleep(ctx, 100*time.Millisecond)
		}
		if t.rest > 0 {
			wait.Sleep(ctx, time.Duration(rng.ExpFloat64()*float64(t.rest)))
		}
	}
}

func (f *labFleet) askOnce(c *caller.Caller, t teamProfile, p *lab.Process, rng *rand.Rand) caller.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	class := t.class(rng)
	header := map[string]string{"Croftvale-Class": class}
	f.judge.asked(t)
	var a caller.Answer
	if t.work == workPages {
		body := strings.NewReader(strings.Repeat("x", appBody))
		a = c.Call(ctx, "POST", f.lab.URL(p)+"/app/tag", body, header)
	} else {
		a = c.Complete(ctx, f.lab.URL(p), caller.Work{
			Model: t.work, Prompt: t.name, Tokens: f.cost(rng), Stream: rng.Float64() < streamed, Header: header,
		})
	}
	f.judge.answered(t, class, p, a)
	return a
}

func (t teamProfile) class(rng *rand.Rand) string {
	x := rng.Float64()
	switch {
	case x < t.urgent:
		return "urgent"
	case x < t.urgent+t.batch:
		return "batch"
	}
	return "ordinary"
}

// cost draws the number of tokens of an answer, with a heavy tail.
func (f *labFleet) cost(rng *rand.Rand) int {
	lo, hi := float64(f.profile.minCost), float64(f.profile.maxCost)
	u := rng.Float64()
	tail := 1 - math.Pow(lo/hi, costShape)
	return int(lo / math.Pow(1-u*tail, 1/costShape))
}
