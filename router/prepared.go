package router

import (
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/settings"
)

// prepared is a bundle in force with all that can be worked out of it away
// from the core: a large one takes tens of milliseconds.
type prepared struct {
	inForce bundle.Active
	bundle  bundle.Bundle // with defaults
	servers map[fleet.Name]bundle.Server
	config  queue.Config
	table   *table
}

func prepare(f bundle.Active, s settings.Process) prepared {
	b := f.Bundle.WithDefaults()
	p := prepared{
		inForce: f,
		bundle:  b,
		servers: map[fleet.Name]bundle.Server{},
		config:  configOf(b, s),
		table:   newTable(f.Generation(), b),
	}
	for _, s := range b.Servers {
		p.servers[s.Name] = s
	}
	return p
}

func configOf(b bundle.Bundle, s settings.Process) queue.Config {
	cfg := queue.Config{
		Self:              s.Name,
		Hall:              s.Hall,
		MaxWaiting:        b.Limits.MaxWaiting,
		MaxWaitingPerTeam: map[fleet.Team]int{},
		MaxWait:           time.Duration(b.Limits.MaxWait),
		RetryBudget:       b.Limits.RetryBudget,
	}
	for _, t := range b.Teams {
		cfg.MaxWaitingPerTeam[t.Name] = b.Limits.MaxWaitingPerTeam
		if t.MaxWaiting > 0 {
			cfg.MaxWaitingPerTeam[t.Name] = t.MaxWaiting
		}
	}
	return cfg
}
