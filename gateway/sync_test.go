package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// memberSource lists routers and remembers which lists could be stale.
type memberSource struct {
	Source
	down  atomic.Bool
	stale []bool
}

func (s *memberSource) Register(context.Context, Member) error { return nil }

func (s *memberSource) Members(_ context.Context, stale bool) ([]Member, error) {
	s.stale = append(s.stale, stale)
	if s.down.Load() {
		return nil, errors.New("the source is down")
	}
	return []Member{{Name: "other", Address: "10.0.0.2"}}, nil
}

// TestMembersAreListedFreshFirst lists the routers anew until it has worked once,
// and then takes lists that may be some seconds old.
func TestMembersAreListedFreshFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &memberSource{}
		source.down.Store(true)
		found := 0
		go func() { _ = followMembers(ctx, source, Member{Name: "self"}, func(Member) { found++ }) }()
		time.Sleep(retryMost + retryMost/2)
		source.down.Store(false)
		time.Sleep(3 * membersFirst)
		cancel()
		synctest.Wait()
		require.Equal(t, []bool{false, false, false, true, true}, source.stale)
		require.Equal(t, 3, found)
	})
}
