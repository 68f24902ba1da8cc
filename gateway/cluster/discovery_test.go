package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// memoryRegistry is a registry in memory that records which lists were allowed to be stale.
type memoryRegistry struct {
	mu         sync.Mutex
	down       atomic.Bool
	stale      []bool
	registered []Member
	during     func() // called during each list; may be nil
}

func (s *memoryRegistry) Register(_ context.Context, m Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered = append(s.registered, m)
	return nil
}

func (s *memoryRegistry) Members(_ context.Context, stale bool) ([]Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = append(s.stale, stale)
	if s.during != nil {
		s.during()
	}
	if s.down.Load() {
		return nil, errors.New("the registry is down")
	}
	return append([]Member{{Name: "other", Address: "10.0.0.2"}}, s.registered...), nil
}

// taken returns the recorded registrations and lists, and clears both.
func (s *memoryRegistry) taken() (registered []Member, stale []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	registered, stale = s.registered, s.stale
	s.registered, s.stale = nil, nil
	return registered, stale
}

// TestMembersAreListedFreshFirst checks that a router requests up-to-date lists until one call has
// succeeded, and then accepts lists that may be some seconds old.
func TestMembersAreListedFreshFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		registry := &memoryRegistry{}
		registry.down.Store(true)
		found := 0
		d := discovery{registry: registry, self: Member{Name: "self"}, hasLivePeers: func() bool { return false }, era: func() uint64 { return 0 }, countCall: func(string) {}}
		d.onMember = func(one Member) {
			if one.Name == "other" {
				found++
			}
		}
		go func() { _ = d.run(ctx) }()
		time.Sleep(registryRetryDelay + registryRetryDelay/2 + firstListDelay + maxPeerWait)
		registry.down.Store(false)
		time.Sleep(3 * earlyListInterval)
		cancel()
		synctest.Wait()
		require.Equal(t, []bool{false, false, false, true, true}, registry.stale)
		require.Equal(t, 3, found)
	})
}

// TestRegistersOnce starts a router three times. It must register only if no list names it with its
// address.
func TestRegistersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &memoryRegistry{}
		start := func(address string, firstStart bool) {
			ctx, cancel := context.WithCancel(t.Context())
			d := discovery{
				registry: registry, self: Member{Name: "self", Address: address}, onMember: func(Member) {},
				hasLivePeers: func() bool { return true }, firstStart: firstStart, era: func() uint64 { return 0 }, countCall: func(string) {},
			}
			go func() { _ = d.run(ctx) }()
			time.Sleep(earlyListInterval)
			cancel()
			synctest.Wait()
		}
		start("10.0.0.1", true)
		start("10.0.0.1", false)
		require.Len(t, registry.registered, 1, "it is registered already")
		start("10.0.0.9", false)
		require.Len(t, registry.registered, 2, "it has another address")
	})
}

// startDiscovery starts the discovery of a router at its first start, in a synctest bubble, and returns a
// function that stops it.
func startDiscovery(t *testing.T, registry *memoryRegistry, era *atomic.Uint64) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	d := discovery{
		registry: registry, self: Member{Name: "self", Address: "10.0.0.1"}, onMember: func(Member) {},
		hasLivePeers: func() bool { return true }, firstStart: true, era: era.Load, countCall: func(string) {},
	}
	go func() { _ = d.run(ctx) }()
	return func() {
		cancel()
		synctest.Wait()
	}
}

// TestRegistersAgain restores the registry from a backup that lacks a router. The router must look
// for itself in an up-to-date list, register once, and make no other call because of it.
func TestRegistersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry, era := &memoryRegistry{}, new(atomic.Uint64)
		stop := startDiscovery(t, registry, era)
		time.Sleep(2 * time.Minute)
		registered, _ := registry.taken()
		require.Len(t, registered, 1)
		era.Store(1)
		time.Sleep(eraPollInterval + reregisterSpread)
		registered, stale := registry.taken()
		require.Len(t, registered, 1)
		require.Equal(t, []bool{false}, stale)
		registry.mu.Lock()
		registry.registered = registered // it is listed again
		registry.mu.Unlock()
		time.Sleep(2 * time.Minute)
		stop()
		registered, _ = registry.taken()
		require.Len(t, registered, 1)
	})
}

// TestEraDuringAList restores the registry from a backup while it is being listed. The router must
// look for itself in an up-to-date list soon after, not at the next interval.
func TestEraDuringAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry, era := &memoryRegistry{}, new(atomic.Uint64)
		registry.during = func() { era.Store(1) }
		stop := startDiscovery(t, registry, era)
		time.Sleep(firstListDelay + eraPollInterval + reregisterSpread)
		stop()
		_, stale := registry.taken()
		require.Equal(t, []bool{true, false}, stale)
	})
}

// TestRegistersAgainAfterItsStart guards against a router that nobody finds for half a minute: the registry
// was restored from a backup right after the router had registered, while it waited for other routers.
func TestRegistersAgainAfterItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry, era := &memoryRegistry{}, new(atomic.Uint64)
		stop := startDiscovery(t, registry, era)
		time.Sleep(firstListDelay / 2)
		registered, _ := registry.taken()
		require.Len(t, registered, 1)
		era.Store(1)
		time.Sleep(firstListDelay)
		stop()
		registered, stale := registry.taken()
		require.Len(t, registered, 1)
		require.Equal(t, []bool{false}, stale)
	})
}
