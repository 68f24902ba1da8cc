package cluster

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/stretchr/testify/require"
)

// serverSource lists servers and counts the calls.
type serverSource struct {
	feed.Source
	reads, watches atomic.Int64
}

func (s *serverSource) ReadServers(context.Context) ([]direct.Server, uint64, error) {
	s.reads.Add(1)
	return []direct.Server{{ID: "i-1", Service: "llm"}}, 7, nil
}

func (s *serverSource) WatchServers(ctx context.Context, since uint64, most time.Duration) ([]feed.Change[direct.Server], uint64, error) {
	s.watches.Add(1)
	wait.Sleep(ctx, most)
	return nil, since, nil
}

// startServers starts the follower of servers of a router that has just started and has three
// peers.
func startServers(t *testing.T, source feed.Source) (*feed.Servers, *Peers) {
	p := newTestPeers("d", &peer{address: "a"}, &peer{address: "b"}, &peer{address: "c"})
	p.deps.StateMachine = newTestMachine()
	p.startupWait = startupWait
	p.deps.Feeds = newTestFeeds(source, p.deps.StateMachine)
	follow(t, p, p.deps.Feeds.Servers)
	return p.deps.Feeds.Servers, p
}

// TestServersAreBrought starts a router whose peers send it the list of servers. It must not call
// the source: otherwise each router of a starting fleet would.
func TestServersAreBrought(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &serverSource{}
		servers, _ := startServers(t, source)
		time.Sleep(startupWait / 2)
		servers.OfferAll(&direct.Directory{Revision: 7}, "a")
		time.Sleep(20 * warmUpTime)
		require.Zero(t, source.reads.Load())
		require.Zero(t, source.watches.Load())
	})
}

// TestServersAreReadOnce starts a router to which no peer sends the list of servers. It must read
// the list once, and continue from it when it becomes a follower of the source.
func TestServersAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &serverSource{}
		_, peers := startServers(t, source)
		time.Sleep(startupWait - time.Millisecond)
		synctest.Wait()
		require.Zero(t, source.reads.Load(), "it waits for another router")
		time.Sleep(2 * warmUpTime)
		require.EqualValues(t, 1, source.reads.Load())
		require.Zero(t, source.watches.Load(), "others follow the source")
		peers.mu.Lock()
		peers.known["a"].sourceLost = true
		peers.mu.Unlock()
		time.Sleep(4 * time.Second)
		require.EqualValues(t, 1, source.reads.Load(), "it continues from the list that it read")
		require.Positive(t, source.watches.Load())
	})
}
