package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/standin/caller"
)

const (
	flooders  = 48 // callers at once of each large team
	smallRest = 100 * time.Millisecond
	// tolerance is how far a flooding team's part may lie from its share's.
	tolerance = 0.05
	// warmUp is left out of the parts: counters start from nothing.
	warmUp = 2 * time.Second
)

// errParts means that the fleet did not share as the bundle says.
var errParts = errors.New("the parts do not lie near the shares, or a request went unanswered")

// tally is what one team got.
type tally struct {
	served, refused, broken int
	tokens                  int // after the warm-up
	waits                   []time.Duration
}

// load lets the teams ask.
type load struct {
	fleet *fleetOnLoopback
	mu    sync.Mutex
	teams map[fleet.Team]*tally
	warm  time.Time
}

func newLoad(f *fleetOnLoopback) *load {
	l := &load{fleet: f, teams: map[fleet.Team]*tally{}}
	for _, t := range f.teams {
		l.teams[t.Name] = &tally{}
	}
	return l
}

// run asks until the time is over, then waits for the last answers.
func (l *load) run(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	l.warm = time.Now().Add(warmUp)
	var wg sync.WaitGroup
	for i := range flooders {
		wg.Go(func() { l.ask(ctx, "large", uint64(i), 0) })
		wg.Go(func() { l.ask(ctx, "medium", uint64(i), 0) })
	}
	wg.Go(func() { l.ask(ctx, "small", 0, smallRest) })
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			l.progress()
		}
	}
	wg.Wait()
}

// ask sends one request after another, uneven over the routers.
func (l *load) ask(ctx context.Context, team fleet.Team, seed uint64, rest time.Duration) {
	c := l.fleet.caller(team)
	rng := rand.New(rand.NewPCG(seed, uint64(len(team))))
	routers := l.fleet.lab.Routers()
	for ctx.Err() == nil {
		r := routers[0]
		if rng.IntN(4) == 0 {
			r = routers[1]
		}
		w := caller.Work{Prompt: string(team), Tokens: 5 + rng.IntN(30), Stream: rng.IntN(2) == 0}
		l.note(team, w, c.Complete(context.Background(), l.fleet.lab.URL(r), w))
		time.Sleep(rest)
	}
}

func (l *load) note(team fleet.Team, w caller.Work, a caller.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[team]
	switch {
	case a.Kind == caller.Served && !a.Mixed:
		t.served++
		t.waits = append(t.waits, a.Wait)
		if time.Now().After(l.warm) {
			t.tokens += w.Tokens
		}
	case a.Kind == caller.Refused:
		t.refused++
	default:
		t.broken++
	}
}

func (l *load) progress() {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Print("served so far:")
	for _, t := range l.fleet.teams {
		fmt.Printf("  %s %d", t.Name, l.teams[t.Name].served)
	}
	fmt.Println()
}

// report prints the table and judges it.
func (l *load) report() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, t := range l.teams {
		total += t.tokens
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nteam\tshare\tserved\trefused\tbroken\tpart of service\tp50 wait\tp95 wait")
	for _, t := range l.fleet.teams {
		s := l.teams[t.Name]
		_, _ = fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%.3f\t%s\t%s\n", t.Name, t.Share, s.served, s.refused, s.broken,
			float64(s.tokens)/float64(max(total, 1)), quantile(s.waits, 0.5), quantile(s.waits, 0.95))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	return l.judge()
}

// judge compares the two flooding teams with their shares, 2 to 1.
func (l *load) judge() error {
	large, medium := l.teams["large"], l.teams["medium"]
	part := float64(large.tokens) / float64(max(large.tokens+medium.tokens, 1))
	fmt.Printf("large had %.3f of what large and medium had; its share says %.3f\n", part, 2.0/3)
	if part < 2.0/3-tolerance || part > 2.0/3+tolerance {
		return errParts
	}
	for _, t := range l.teams {
		if t.broken > 0 || t.refused > 0 || t.served == 0 {
			return errParts
		}
	}
	return nil
}

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	s := slices.Clone(waits)
	slices.Sort(s)
	return s[int(q*float64(len(s)-1))].Round(time.Millisecond)
}
