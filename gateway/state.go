package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// state is what the router takes to be true of the fleet: the newest
// configuration and list of servers, from whomever they came.
type state struct {
	mu        sync.Mutex
	table     atomic.Pointer[direct.Table]
	tableAt   atomic.Int64 // when it came into force, on the core's clock
	directory atomic.Pointer[direct.Directory]
	core      *core
	log       *eventLog
	changed   func()
	listed    chan struct{} // closed when the first list of servers has come; nil: nobody waits
}

// offerConfig puts a configuration in force where it is newer.
func (s *state) offerConfig(c *direct.Config, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.table.Load()
	if c == nil || (old != nil && c.Version <= old.Config.Version) {
		return
	}
	now := s.core.now()
	s.core.update(direct.ConfigMsg{Now: now, Config: *c})
	s.tableAt.Store(int64(now))
	s.table.Store(direct.NewTable(*c))
	s.log.config(c, from)
	s.changed()
}

// offerServers takes a list of servers where it is newer.
func (s *state) offerServers(d *direct.Directory, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.directory.Load()
	if old != nil && d.Revision <= old.Revision {
		return
	}
	s.core.update(direct.ServersMsg{Now: s.core.now(), Directory: *d})
	s.directory.Store(d)
	if old == nil && s.listed != nil {
		close(s.listed)
	}
	s.log.servers(d, from)
	s.changed()
}

// versions returns the version of the configuration and the revision of the
// servers, 0 where there is none.
func (s *state) versions() (config, servers uint64) {
	if t := s.table.Load(); t != nil {
		config = t.Config.Version
	}
	if d := s.directory.Load(); d != nil {
		servers = d.Revision
	}
	return config, servers
}

// awaitServers waits until a list of servers is known, for some time at most, and
// tells whether one is.
func (s *state) awaitServers(ctx context.Context, most time.Duration) bool {
	if s.directory.Load() != nil {
		return true
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-s.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.directory.Load() != nil
}

// complete tells whether requests can be served at all.
func (s *state) complete() bool {
	return s.table.Load() != nil && s.directory.Load() != nil
}

// configAge is how long the configuration has been in force.
func (s *state) configAge() time.Duration {
	return s.core.now() - time.Duration(s.tableAt.Load())
}
