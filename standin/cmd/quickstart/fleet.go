package main

import (
	"context"
	"fmt"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/operate"
	"github.com/croftvale/croftvale/standin/app"
	"github.com/croftvale/croftvale/standin/caller"
	"github.com/croftvale/croftvale/standin/engine"
	"github.com/croftvale/croftvale/standin/lab"
	"github.com/croftvale/croftvale/standin/record"
)

const (
	engines  = 4
	slots    = 4
	step     = 5 * time.Millisecond
	readyFor = 30 * time.Second
)

// fleetOnLoopback is the fleet that the quickstart runs.
type fleetOnLoopback struct {
	lab   *lab.Lab
	teams []bundle.Team
	keys  map[fleet.Team]string
}

func startFleet(ctx context.Context, dir string) (*fleetOnLoopback, error) {
	fmt.Println("building croftvaled and croftvale")
	err := lab.Build(dir, "github.com/croftvale/croftvale/cmd/croftvaled", "github.com/croftvale/croftvale/cmd/croftvale")
	if err != nil {
		return nil, err
	}
	l, err := lab.New(lab.Config{Dir: dir, Bin: dir, Poll: 500 * time.Millisecond})
	if err != nil {
		return nil, err
	}
	f := &fleetOnLoopback{lab: l, keys: map[fleet.Team]string{}}
	if err := f.start(ctx); err != nil {
		l.Close()
		return nil, err
	}
	return f, nil
}

func (f *fleetOnLoopback) start(ctx context.Context) error {
	fmt.Printf("starting %d agents with stand-in servers, 2 routers and a stand-in platform\n", engines+1)
	rec := &record.Recorder{}
	for i := range engines {
		e := engine.New(engine.Config{Slots: slots, Step: step, CacheSize: 64}, rec)
		s := lab.Server{
			Name: fleet.Name(fmt.Sprintf("engine-%d", i+1)), Hall: i % 2, Slots: slots,
			Works: []fleet.Work{"report"}, Handler: e,
		}
		if err := f.lab.AddServer(s); err != nil {
			return err
		}
	}
	a := lab.Server{Name: "app-1", Slots: slots, Works: []fleet.Work{"pages"}, Handler: app.New(step, rec)}
	if err := f.lab.AddServer(a); err != nil {
		return err
	}
	for i := range 2 {
		if err := f.lab.AddRouter(fleet.Name(fmt.Sprintf("router-%d", i+1)), i); err != nil {
			return err
		}
	}
	return f.roll(ctx)
}

// roll puts the bundle in force and waits until all processes have it.
func (f *fleetOnLoopback) roll(ctx context.Context) error {
	f.addTeam("large", 2)
	f.addTeam("medium", 1)
	f.addTeam("small", 1)
	began := time.Now()
	order, err := f.lab.Roll(ctx, bundle.Bundle{
		Teams: f.teams,
		Works: []bundle.Work{
			{Name: "report", Kind: bundle.KindModel, Method: "POST", Path: "/v1/completions", Repeatable: true},
			{Name: "pages", Kind: bundle.KindApp, Path: "/squad/*"},
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	if err := f.lab.WaitReady(ctx); err != nil {
		return err
	}
	fmt.Printf("generation %d is in force everywhere after %d ms\n", order.Generation, time.Since(began).Milliseconds())
	return nil
}

func (f *fleetOnLoopback) addTeam(name fleet.Team, share float64) {
	key, hash := operate.NewTeamKey()
	f.keys[name] = key
	f.teams = append(f.teams, bundle.Team{Name: name, Share: share, Keys: []string{hash}})
}

func (f *fleetOnLoopback) caller(name fleet.Team) *caller.Caller {
	return caller.New(caller.Team{Name: string(name), Key: f.keys[name]})
}

// keep leaves the fleet running and prints lines to try.
func (f *fleetOnLoopback) keep(ctx context.Context) {
	r := f.lab.Routers()[0]
	fmt.Printf("\nThe fleet goes on until Ctrl-C. To try:\n")
	fmt.Printf("  curl -i %s/v1/completions -H 'Authorization: Bearer %s' -d '{\"max_tokens\":5,\"stream\":true,\"user\":\"me\"}'\n", f.lab.URL(r), f.keys["small"])
	fmt.Printf("  curl -i %s/squad/7 -H 'Authorization: Bearer %s'\n", f.lab.URL(r), f.keys["small"])
	fmt.Printf("  curl http://%s/state\n", f.lab.Admin(r))
	fmt.Printf("  go run ./cmd/croftvale bundle status --platform %s %s\n", f.lab.PlatformAddress(), f.lab.Admin(r))
	<-ctx.Done()
}
