package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/croftvale/croftvale/internal/wait"
)

const (
	// firstListDelay is the time from the start to the first list of routers. By then some
	// heartbeats have arrived, if there are other routers.
	firstListDelay = 500 * time.Millisecond
	// maxPeerWait is how long after that a router waits for a heartbeat of another one. Once one
	// has arrived, a list that may be some seconds old suffices. It costs the registry a tenth of
	// an up-to-date list.
	maxPeerWait = 2 * time.Second
	// earlyListInterval is the time between the first earlyLists lists of routers. listInterval is
	// the time between later ones, when heartbeats name the other routers.
	earlyListInterval = 6 * time.Second
	earlyLists        = 3
	listInterval      = 30 * time.Second
	// registryTimeout bounds a call to the registry. registryRetryDelay is the time until the next
	// call after a failed one.
	registryTimeout    = 1500 * time.Millisecond
	registryRetryDelay = time.Second
	// eraPollInterval is the time between two checks whether the registry was restored from a
	// backup. After a restore, all routers look for themselves in the registry, spread over
	// reregisterSpread.
	eraPollInterval  = 500 * time.Millisecond
	reregisterSpread = 5 * time.Second
)

// discovery registers a router and finds the others through the registry.
type discovery struct {
	registry Registry
	self     Member
	onMember func(Member)
	// hasLivePeers reports whether a heartbeat of another router has arrived.
	hasLivePeers func() bool
	// firstStart reports that the whole fleet starts for the first time, so that this router is not
	// registered yet.
	firstStart bool
	// countCall counts a call to the registry.
	countCall func(what string)
	// era returns how often the registry was restored from a backup, which may lack this router.
	era func() uint64
}

// run registers this router and finds the others, until ctx ends.
func (d discovery) run(ctx context.Context) error {
	era := d.era()
	registered, lists := d.firstStart && d.register(ctx), 0
	d.awaitPeer(ctx)
	restored := registered && d.era() > era // the registration may be lost
	registered = registered && !restored
	era = d.era()
	for ctx.Err() == nil {
		// Heartbeats name the routers that have joined since a stale list was made. Only a router
		// that has received no heartbeat, because its seeds are down, needs an up-to-date list.
		listed, err := d.list(ctx, !restored && (lists > 0 || d.hasLivePeers()))
		registered = registered || listed || d.register(ctx)
		if err != nil || !registered {
			wait.Sleep(ctx, registryRetryDelay)
			continue
		}
		lists++
		pause := listInterval
		if lists < earlyLists {
			pause = earlyListInterval
		}
		restored = d.awaitNextList(ctx, pause, era)
		era = d.era()
		if restored || pause == listInterval {
			registered = false // unless the next list names this router
		}
	}
	return nil
}

// awaitPeer waits for firstListDelay and then, at most for maxPeerWait, for a heartbeat of another
// router.
func (d discovery) awaitPeer(ctx context.Context) {
	wait.Sleep(ctx, firstListDelay)
	for end := time.Now().Add(maxPeerWait); ctx.Err() == nil && !d.hasLivePeers() && time.Now().Before(end); {
		wait.Sleep(ctx, firstListDelay/5)
	}
}

// awaitNextList waits for at most limit until the registry is in a later era than the given one,
// and reports whether it is. After a change of era it also waits for a delay that depends on this
// router's address, so that routers that started together do not call the registry together.
func (d discovery) awaitNextList(ctx context.Context, limit time.Duration, era uint64) (restored bool) {
	for end := time.Now().Add(limit); ctx.Err() == nil && time.Now().Before(end); {
		wait.Sleep(ctx, min(eraPollInterval, time.Until(end)))
		if d.era() > era {
			turn := time.Duration(xxhash.Sum64String(d.self.Address) % uint64(reregisterSpread))
			wait.Sleep(ctx, turn)
			return true
		}
	}
	return false
}

// register registers this router and reports whether that succeeded.
func (d discovery) register(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	d.countCall("registration")
	return d.registry.Register(call, d.self) == nil
}

// list passes the routers that the registry lists to onMember, and reports whether this one is
// among them.
func (d discovery) list(ctx context.Context, stale bool) (bool, error) {
	call, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	d.countCall("list of routers")
	listed, err := d.registry.Members(call, stale)
	for _, member := range listed {
		d.onMember(member)
	}
	return slices.Contains(listed, d.self), err
}
