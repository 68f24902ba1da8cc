package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway"
	"github.com/croftvale/croftvale/platform"
)

// withoutVariable is the environment variable in which experiments name the
// mechanisms of the router that are switched off.
const withoutVariable = "CROFTVALE_WITHOUT"

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
	if s.Gateway.DisabledMechanisms, err = direct.ParseDisabledMechanisms(os.Getenv(withoutVariable)); err != nil {
		return errors.Wrap(err, withoutVariable)
	}
	store := platform.NewStore(s.StoreAddress, s.Gateway.Name)
	g, err := gateway.New(s.Gateway, store, platform.Headers{}, os.Stdout)
	if err != nil {
		return err
	}
	store.Report = g.Unreadable
	signaled := untilSignal(func() {})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		reload(signaled, path, func() {
			s, err := platform.LoadSettings(path)
			if err != nil {
				g.ReloadFailed(err)
				return
			}
			store.SetAddress(s.StoreAddress)
			g.Reload(s.Gateway)
		})
		stop() // only now, as the settings bound how long the router may take to end
	}()
	return g.Run(ctx)
}

// reloadEvery is how often the settings file is looked at: it may change
// without a signal.
const reloadEvery = time.Second

// reload calls changed on SIGHUP, and when the file has another time or size, until ctx ends. It looks at the
// file once more then.
func reload(ctx context.Context, path string, changed func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	last := stamp(path)
	for {
		select {
		case <-ctx.Done():
			if stamp(path) != last {
				changed()
			}
			return
		case <-hangups:
			last = stamp(path)
			changed()
		case <-ticker.C:
			if now := stamp(path); now != last {
				last = now
				changed()
			}
		}
	}
}

// fileStamp tells two states of a file apart.
type fileStamp struct {
	at   time.Time
	size int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{at: info.ModTime(), size: info.Size()}
}
