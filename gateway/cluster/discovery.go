package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	// firstListDelay is the time from the start to the first list of routers: by then
	// the heartbeats of some have come, where there are any.
	firstListDelay = 500 * time.Millisecond
	// maxPeerWait is how long after that a router waits to hear of another one: then a list
	// that may be some seconds old is enough, which costs the registry a tenth.
	maxPeerWait = 2 * time.Second
	// earlyListInterval is the time between the first membersOften lists of routers,
	// membersEach between the later ones: heartbeats name the others by then.
	earlyListInterval = 6 * time.Second
	earlyLists        = 3
	listInterval      = 30 * time.Second
	// registryTimeout bounds one call to the registry, registryRetry is the time until
	// the next where one failed.
	registryTimeout    = 1500 * time.Millisecond
	registryRetryDelay = time.Second
	// eraPollInterval is how often a router looks whether the registry has come back from a copy, and
	// registerOver the time over which all routers look for themselves in it then.
	eraPollInterval  = 500 * time.Millisecond
	reregisterSpread = 5 * time.Second
)

// discovery registers a router and finds the others through the registry.
type discovery struct {
	registry Registry
	self     Member
	onMember func(Member)
	// heardAny tells whether another router has been heardAny of already.
	heardAny func() bool
	// firstStart says that the whole fleet starts for the first time, so that this
	// router is not registered yet.
	firstStart bool
	// countCall counts a call to the registry.
	countCall func(what string)
	// era tells how often the registry has come back from a copy, which may lack this router.
	era func() uint64
}

// run registers this router and finds the others, until ctx ends.
func (m discovery) run(ctx context.Context) error {
	registered, lists, restored := m.firstStart && m.register(ctx), 0, false
	m.awaitPeer(ctx)
	era := m.era()
	for ctx.Err() == nil {
		// Heartbeats name the routers that came since. Only a router that has heard
		// of none, since its seeds are away, needs a list that is up to date.
		listed, err := m.list(ctx, !restored && (lists > 0 || m.heardAny()))
		registered = registered || listed || m.register(ctx)
		if err != nil || !registered {
			wait.Sleep(ctx, registryRetryDelay)
			continue
		}
		lists++
		pause := listInterval
		if lists < earlyLists {
			pause = earlyListInterval
		}
		restored = m.awaitNextList(ctx, pause, era)
		era = m.era()
		if restored || pause == listInterval {
			registered = false // unless the next list has this router
		}
	}
	return nil
}

// awaitPeer waits until another router has been heard of, for some time at most.
func (m discovery) awaitPeer(ctx context.Context) {
	wait.Sleep(ctx, firstListDelay)
	for end := time.Now().Add(maxPeerWait); ctx.Err() == nil && !m.heardAny() && time.Now().Before(end); {
		wait.Sleep(ctx, firstListDelay/5)
	}
}

// awaitNextList waits for some time, or until the registry is in a later era than the one given and this router's
// turn has come: routers that started together don't ask it together. It tells whether that was so.
func (m discovery) awaitNextList(ctx context.Context, limit time.Duration, era uint64) (restored bool) {
	for end := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(end); {
		wait.Sleep(ctx, min(eraPollInterval, time.Until(end)))
		if m.era() > era {
			turn := time.Duration(xxhash.Sum64String(m.self.Address) % uint64(reregisterSpread))
			wait.Sleep(ctx, turn)
			return true
		}
	}
	return false
}

// register makes this router known to others, and tells whether the registry has
// taken that.
func (m discovery) register(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	m.countCall("registration")
	return m.registry.Register(call, m.self) == nil
}

// list makes the routers known that the registry lists, and tells whether this one is
// among them.
func (m discovery) list(ctx context.Context, stale bool) (bool, error) {
	call, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	m.countCall("list of routers")
	listed, err := m.registry.Members(call, stale)
	for _, one := range listed {
		m.onMember(one)
	}
	return slices.Contains(listed, m.self), err
}
