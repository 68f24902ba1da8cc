package cluster

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/stretchr/testify/require"
)

// configSource holds a configuration and counts the calls for it.
type configSource struct {
	feed.Source
	reads, watches atomic.Int64
}

func (s *configSource) ReadConfig(context.Context) (*direct.Config, uint64, error) {
	s.reads.Add(1)
	return &direct.Config{Version: 5}, 7, nil
}

func (s *configSource) WatchConfig(ctx context.Context, since uint64, most time.Duration) (*direct.Config, uint64, error) {
	s.watches.Add(1)
	wait.Sleep(ctx, most)
	return nil, since, nil
}

// startConfig starts the configuration follower of a router that has just started and has five
// peers.
func startConfig(t *testing.T, source feed.Source, self string) *Peers {
	var others []*peer
	for i := range 5 {
		others = append(others, &peer{address: fmt.Sprint("c", i)})
	}
	p := newTestPeers(self, others...)
	p.deps.StateMachine = newTestMachine()
	p.startupWait = startupWait
	p.deps.Feeds = newTestFeeds(source, p.deps.StateMachine)
	follow(t, p, p.deps.Feeds.Config)
	return p
}

// TestConfigComesFromPeers starts a router in a fleet whose followers have read the configuration
// one second later. The router must take it from them: otherwise each router of a starting fleet
// would call the source.
func TestConfigComesFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &configSource{}
		p := startConfig(t, source, "d")
		time.Sleep(time.Second)
		p.deps.Feeds.Config.Offer(&direct.Config{Version: 5}, "c0")
		time.Sleep(20 * time.Second)
		require.Zero(t, source.reads.Load())
		require.Zero(t, source.watches.Load())
	})
}

// TestStandbyPollsLessOften checks how often followers poll the source while nothing changes: the
// first follower once a second, the standby followers a quarter as often.
func TestStandbyPollsLessOften(t *testing.T) {
	for self, atMost := range map[string]int64{"a": 21, "c0b": 7} {
		synctest.Test(t, func(t *testing.T) {
			source := &configSource{}
			p := startConfig(t, source, self)
			time.Sleep(warmUpTime + timeToReadConfig())
			require.Equal(t, self == "a", p.IsPrimary())
			source.watches.Store(0)
			time.Sleep(20 * time.Second)
			require.LessOrEqual(t, source.watches.Load(), atMost)
			require.GreaterOrEqual(t, source.watches.Load(), atMost/2)
		})
	}
}

// timeToReadConfig returns a time that is longer than a starting router waits for its peers and
// then takes to read the configuration.
func timeToReadConfig() time.Duration { return 3 * time.Second }
