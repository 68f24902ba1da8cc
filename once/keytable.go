package once

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// KeyTableConfig holds the properties of the agent that a KeyTable belongs to.
type KeyTableConfig struct {
	Self      fleet.Name
	StartedAt time.Time // process start by the host's clock
}

// maxKeys is the maximum number of keys that one agent remembers. A full table
// reserves no further keys.
const maxKeys = 1 << 18

// KeyTable holds the keys reserved at one agent. It performs no I/O and reads no
// clock: each message carries the time since the process started.
type KeyTable struct {
	cfg     KeyTableConfig
	entries map[Key]entry
	pools   map[fleet.Work][]pool // newest last
	sweptAt time.Duration
}

// entry is one reserved key.
type entry struct {
	holder     Holder
	reservedAt time.Duration
}

// pool holds the agents of a work's servers from a point in time on.
type pool struct {
	since  time.Duration
	agents []fleet.Name
}

// NewKeyTable returns an empty table.
func NewKeyTable(cfg KeyTableConfig) *KeyTable {
	return &KeyTable{cfg: cfg, entries: map[Key]entry{}, pools: map[fleet.Work][]pool{}}
}

// KeyTableMsg is an input to KeyTable.Update.
type KeyTableMsg interface{ isKeyTableMsg() }

// PoolMsg sets the agents of a work's servers from now on.
type PoolMsg struct {
	Now    time.Duration
	Work   fleet.Work
	Agents []fleet.Name
}

// ReserveMsg reserves a key for a request. CreatedAt is when the caller first
// used the key, by the caller's clock, or zero if unknown.
type ReserveMsg struct {
	Now       time.Duration
	Key       Key
	Holder    Holder
	CreatedAt time.Time
}

// ReleaseMsg releases a key because the request that holds it did not run.
type ReleaseMsg struct {
	Now    time.Duration
	Key    Key
	Holder Holder
}

func (PoolMsg) isKeyTableMsg()    {}
func (ReserveMsg) isKeyTableMsg() {}
func (ReleaseMsg) isKeyTableMsg() {}

// Update processes one message. The verdict is meaningful for ReserveMsg only.
func (t *KeyTable) Update(msg KeyTableMsg) Verdict {
	switch msg := msg.(type) {
	case PoolMsg:
		t.setPool(msg)
	case ReserveMsg:
		t.sweep(msg.Now)
		return t.reserve(msg)
	case ReleaseMsg:
		if e, ok := t.entries[msg.Key]; ok && e.holder == msg.Holder {
			delete(t.entries, msg.Key)
		}
	}
	return VerdictUncertain
}

// Len returns the number of keys in the table.
func (t *KeyTable) Len() int { return len(t.entries) }

func (t *KeyTable) setPool(msg PoolMsg) {
	pools := t.pools[msg.Work]
	if n := len(pools); n > 0 && slices.Equal(pools[n-1].agents, msg.Agents) {
		return
	}
	t.pools[msg.Work] = append(pools, pool{since: msg.Now, agents: slices.Clone(msg.Agents)})
}

func (t *KeyTable) reserve(msg ReserveMsg) Verdict {
	e, known := t.entries[msg.Key]
	if known && e.holder != msg.Holder {
		return VerdictDuplicate
	}
	if !known && len(t.entries) >= maxKeys {
		return VerdictUncertain
	}
	t.entries[msg.Key] = entry{holder: msg.Holder, reservedAt: msg.Now}
	if t.hasFullHistory(msg) {
		return VerdictReserved
	}
	return VerdictUncertain
}

// hasFullHistory reports whether the agent would have a record of any earlier
// reservation of the key. This holds if it has been running, and has owned the
// key in every pool, for KeyTTL or since before the key was created.
func (t *KeyTable) hasFullHistory(msg ReserveMsg) bool {
	horizon := msg.Now - KeyTTL
	if !msg.CreatedAt.IsZero() {
		createdAt := msg.CreatedAt.Sub(t.cfg.StartedAt) - MaxClockSkew
		horizon = max(horizon, createdAt)
	}
	pools := t.pools[msg.Key.Work]
	for i, p := range pools {
		replaced := i+1 < len(pools) && pools[i+1].since < horizon
		if replaced {
			continue
		}
		if !slices.Contains(Owners(msg.Key, p.agents), t.cfg.Self) {
			return false
		}
	}
	return len(pools) > 0 && pools[0].since <= horizon
}

// sweep removes expired keys and pools, at most once per tenth of KeyTTL.
func (t *KeyTable) sweep(now time.Duration) {
	if now-t.sweptAt < KeyTTL/10 {
		return
	}
	t.sweptAt = now
	for k, e := range t.entries {
		if now-e.reservedAt > KeyTTL {
			delete(t.entries, k)
		}
	}
	for w, pools := range t.pools {
		for len(pools) > 1 && pools[1].since < now-KeyTTL {
			pools = pools[1:]
		}
		t.pools[w] = pools
	}
}
