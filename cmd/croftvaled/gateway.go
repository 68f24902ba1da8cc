package main

import (
	"os"

	"github.com/croftvale/croftvale/gateway"
	"github.com/croftvale/croftvale/platform"
)

type gatewayCmd struct {
	Settings string `type:"path" help:"TOML settings file; by default the one that the platform names."`
}

// Run runs a gateway until a signal.
func (c gatewayCmd) Run() error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	store := platform.NewStore(s.Store)
	g, err := gateway.New(s.Gateway, store, platform.Headers{}, os.Stdout)
	if err != nil {
		return err
	}
	store.Report = g.Unreadable
	return g.Run(untilSignal(func() {}))
}
