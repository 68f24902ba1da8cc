package feed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// ConfigSource provides the configuration.
type ConfigSource interface {
	// ReadConfig returns the configuration, or nil if there is none yet, and the
	// source's revision.
	ReadConfig(ctx context.Context) (*direct.Config, uint64, error)
	// WatchConfig waits for a change after the revision since; it returns nil if
	// there is none within wait.
	WatchConfig(ctx context.Context, since uint64, wait time.Duration) (*direct.Config, uint64, error)
}

// Config is the feed of the configuration. Its revision is the version of the configuration.
type Config struct {
	Content[direct.Config]
	o         Options
	table     atomic.Pointer[direct.Table]
	appliedAt atomic.Int64 // when the current configuration was applied, in nanoseconds since the router's start
}

func newConfig(o Options, onChange func()) *Config {
	c := &Config{o: o}
	c.init(contentHooks[direct.Config]{
		revision: func(config *direct.Config) uint64 { return config.Version },
		apply:    c.apply,
		log:      c.log,
	}, onChange)
	return c
}

// Spec returns the settings of the feed. The configuration is large: about 200 kB with
// 1,400 routes.
func (c *Config) Spec() Spec {
	return Spec{Name: "config", SourceName: "source of configuration", Enabled: true, PeersFirst: true, Large: true}
}

// Table returns the lookup table of the current configuration, or nil if there is none.
func (c *Config) Table() *direct.Table { return c.table.Load() }

// Age returns the time since the current configuration was applied.
func (c *Config) Age() time.Duration {
	return c.o.StateMachine.Now() - time.Duration(c.appliedAt.Load())
}

// Read reads the configuration from the source.
func (c *Config) Read(ctx context.Context) (uint64, error) {
	config, revision, err := c.o.Source.ReadConfig(ctx)
	if err == nil {
		c.Offer(config, fromSource)
	}
	return revision, err
}

// Watch waits for a newer configuration.
func (c *Config) Watch(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	config, revision, err := c.o.Source.WatchConfig(ctx, since, wait)
	if err == nil {
		c.Offer(config, fromSource)
	}
	return revision, err
}

func (c *Config) apply(config *direct.Config) {
	now := c.o.StateMachine.Now()
	c.o.StateMachine.Update(direct.ConfigMsg{Now: now, Config: *config})
	c.appliedAt.Store(int64(now))
	c.table.Store(direct.NewTable(*config))
}

func (c *Config) log(config *direct.Config, from string) {
	c.o.Log.Event("config_in_force").Uint64("version", config.Version).Str("from", from).
		Dur("idle_timeout", config.Limits.IdleTimeout).Int("routes", len(config.Routes)).Int("teams", len(config.Teams)).Msg("")
}
