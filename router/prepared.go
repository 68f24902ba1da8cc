package router

import (
	"time"

	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/settings"
)

// preparedBundle holds a verified bundle and the data derived from it. It is
// computed outside the core's goroutine, because a large bundle takes tens of
// milliseconds.
type preparedBundle struct {
	active  bundle.Active
	bundle  bundle.Bundle // with defaults applied
	servers map[fleet.Name]bundle.Server
	config  queue.Config
	table   *routingTable
}

func prepareBundle(active bundle.Active, s settings.Process) preparedBundle {
	b := active.Bundle.WithDefaults()
	p := preparedBundle{
		active:  active,
		bundle:  b,
		servers: map[fleet.Name]bundle.Server{},
		config:  queueConfig(b, s),
		table:   newRoutingTable(active.Generation(), b),
	}
	for _, s := range b.Servers {
		p.servers[s.Name] = s
	}
	return p
}

// queueConfig returns the queue's configuration under a bundle.
func queueConfig(b bundle.Bundle, s settings.Process) queue.Config {
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
