package main

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/operate"
	"github.com/croftvale/croftvale/standin/app"
	"github.com/croftvale/croftvale/standin/engine"
	"github.com/croftvale/croftvale/standin/lab"
	"github.com/croftvale/croftvale/standin/record"
	"github.com/croftvale/croftvale/tomlfile"
)

const readyFor = 30 * time.Second

// labFleet is the fleet under load.
type labFleet struct {
	profile profile
	lab     *lab.Lab
	cuts    string
	engines []*engine.Engine
	half    map[int]bool // engines that run workQuestion too
	account *engine.Account
	record  *record.Recorder
	keys    map[string]string
	teams   []bundle.Team
	judge   *judge
	policy  bundle.Policy // in force, with defaults
}

func startFleet(ctx context.Context, c cli, dir string) (*labFleet, error) {
	if err := lab.Build(dir, "github.com/croftvale/croftvale/standin/cmd/node"); err != nil {
		return nil, err
	}
	p := profiles[c.Profile]
	cuts := filepath.Join(dir, "cuts")
	l, err := lab.New(lab.Config{
		Dir: dir, Bin: dir, Program: "node", Poll: time.Second,
		Env: []string{"LAB_ONE_WAY=" + p.oneWay.String(), "LAB_CUTS=" + cuts},
	})
	if err != nil {
		return nil, err
	}
	f := &labFleet{
		profile: p, lab: l, cuts: cuts,
		half: map[int]bool{}, account: engine.NewAccount(),
		record: &record.Recorder{}, keys: map[string]string{},
	}
	f.judge = newJudge(f)
	if err := f.start(ctx, c); err != nil {
		l.Close()
		return nil, err
	}
	return f, nil
}

func (f *labFleet) start(ctx context.Context, c cli) error {
	for i := range f.profile.engines {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range f.profile.apps {
		s := lab.Server{
			Name: fleet.Name(fmt.Sprintf("app-%d", i)), Hall: i % f.profile.halls, Slots: f.profile.slots,
			Works: []fleet.Work{workPages}, Handler: app.New(f.profile.step, f.record),
		}
		if err := f.lab.AddServer(s); err != nil {
			return err
		}
	}
	for i := range f.profile.routers {
		if err := f.lab.AddRouter(fleet.Name(fmt.Sprintf("router-%d", i)), i%f.profile.halls); err != nil {
			return err
		}
	}
	if _, err := f.lab.Roll(ctx, f.bundle(c)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyFor)
	defer cancel()
	return f.lab.WaitReady(ctx)
}

// addEngine starts one engine; every second one runs the question work too.
func (f *labFleet) addEngine(i int) error {
	e := engine.New(engine.Config{
		Slots: f.profile.slots, Step: f.profile.step, CacheSize: 64, Account: f.account,
	}, f.record)
	f.engines = append(f.engines, e)
	works := []fleet.Work{workReport}
	if i%2 == 0 {
		f.half[i] = true
		works = append(works, workQuestion)
	}
	return f.lab.AddServer(lab.Server{
		Name: fleet.Name(fmt.Sprintf("engine-%d", i)), Hall: i % f.profile.halls, Slots: f.profile.slots,
		Works: works, Handler: e,
	})
}

func (f *labFleet) bundle(c cli) bundle.Bundle {
	b := bundle.Bundle{
		Policy: bundle.Policy{
			Sharing: c.Policy, Prefer: bundle.Preference(c.Prefer),
			Delta: tomlfile.Duration(c.Delta), ShareEvery: tomlfile.Duration(c.Every),
		},
		Works: []bundle.Work{
			{Name: workReport, Kind: bundle.KindModel, Method: "POST", Path: "/v1/completions", Model: workReport, Repeatable: true},
			{Name: workQuestion, Kind: bundle.KindModel, Method: "POST", Path: "/v1/completions", Model: workQuestion, Repeatable: true},
			{Name: workPages, Kind: bundle.KindApp, Path: "/app/*"},
		},
	}
	if c.Ahead >= 0 {
		b.Policy.ClaimAhead = &c.Ahead
	}
	f.policy = b.Policy.WithDefaults()
	for _, t := range f.profile.teams {
		if _, known := f.keys[t.name]; known {
			continue
		}
		key, hash := operate.NewTeamKey()
		f.keys[t.name] = key
		f.teams = append(f.teams, bundle.Team{Name: fleet.Team(t.name), Share: t.share, Keys: []string{hash}})
	}
	b.Teams = f.teams
	return b
}
