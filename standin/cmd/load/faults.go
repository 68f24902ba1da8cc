package main

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/croftvale/croftvale/internal/wait"
	"github.com/croftvale/croftvale/standin/delay"
	"github.com/croftvale/croftvale/standin/lab"
)

const (
	faultEvery  = 3 * time.Second
	killedFor   = time.Second
	frozenFor   = 5 * time.Second // longer than a link may be silent
	cutFor      = 5 * time.Second
	outageFor   = 10 * time.Second
	afterEffect = 4 * time.Second // links and runs settle
)

// faults brings one kind of fault about again and again, or all in turn.
type faults struct {
	fleet *labFleet
	kind  string
	rng   *rand.Rand
}

func newFaults(f *labFleet, kind string, seed uint64) *faults {
	return &faults{fleet: f, kind: kind, rng: rand.New(rand.NewPCG(seed, 99))}
}

func (x *faults) run(ctx context.Context) {
	kinds := []string{"kill", "cut", "freeze", "outage"}
	for i := 0; ctx.Err() == nil; i++ {
		kind := x.kind
		if kind == "all" {
			kind = kinds[i%len(kinds)]
		}
		switch kind {
		case "none":
			<-ctx.Done()
		case "kill":
			x.kill(ctx)
		case "cut":
			x.cut(ctx)
		case "freeze":
			x.freeze(ctx)
		case "outage":
			x.outage(ctx)
		}
		wait.Sleep(ctx, faultEvery)
	}
}

// victim picks a process: a router one time in three.
func (x *faults) victim() *lab.Process {
	pool := x.fleet.lab.Agents()
	if x.rng.IntN(3) == 0 {
		pool = x.fleet.lab.Routers()
	}
	return pool[x.rng.IntN(len(pool))]
}

// kill ends a process at once and starts it again with no state.
func (x *faults) kill(ctx context.Context) {
	p := x.victim()
	from := time.Now()
	x.fleet.judge.setDown(string(p.Name), true)
	p.Kill()
	x.fleet.judge.trouble(string(p.Name), from, from.Add(killedFor+afterEffect))
	x.fleet.lab.ListHosts()
	wait.Sleep(ctx, killedFor)
	x.fleet.judge.setDown(string(p.Name), false)
	_ = p.Start() // a process that does not start stays dead, which the report shows
	x.fleet.lab.ListHosts()
}

// freeze stops a process for longer than its links may be silent.
func (x *faults) freeze(ctx context.Context) {
	p := x.victim()
	from := time.Now()
	x.fleet.judge.trouble(string(p.Name), from, from.Add(frozenFor+afterEffect))
	x.fleet.judge.setDown(string(p.Name), true)
	p.Signal(syscall.SIGSTOP)
	wait.Sleep(ctx, frozenFor)
	p.Signal(syscall.SIGCONT)
	x.fleet.judge.setDown(string(p.Name), false)
}

// cut parts two halls, one way or both.
func (x *faults) cut(ctx context.Context) {
	a := x.rng.IntN(x.fleet.profile.halls)
	b := (a + 1) % x.fleet.profile.halls
	ways := []string{delay.Direction{From: a, To: b}.String()}
	if x.rng.IntN(2) == 0 {
		ways = append(ways, delay.Direction{From: b, To: a}.String())
	}
	from := time.Now()
	x.fleet.judge.trouble("halls", from, from.Add(cutFor+afterEffect))
	_ = os.WriteFile(x.fleet.cuts, []byte(strings.Join(slices.Clone(ways), " ")), 0o644)
	wait.Sleep(ctx, cutFor)
	_ = os.WriteFile(x.fleet.cuts, nil, 0o644)
}

// outage lets the platform fail every call.
func (x *faults) outage(ctx context.Context) {
	x.fleet.lab.Platform.SetOutage(true)
	wait.Sleep(ctx, outageFor)
	x.fleet.lab.Platform.SetOutage(false)
}
