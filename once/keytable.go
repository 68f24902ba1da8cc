package once

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
)

// KeyTableConfig is what a Memory has to know of its agent.
type KeyTableConfig struct {
	Self      fleet.Name
	StartedAt time.Time // by the host's clock
}

// maxKeys bounds what one agent remembers; above it no key is noted.
const maxKeys = 1 << 18

// KeyTable is an agent's part in remembering keys. It is pure: the time since
// the process started comes with each message.
type KeyTable struct {
	cfg     KeyTableConfig
	entries map[Key]entry
	pools   map[fleet.Work][]pool // newest last
	sweptAt time.Duration
}

// entry is one key that was noted.
type entry struct {
	holder     Holder
	reservedAt time.Duration
}

// pool is the agents of a work's servers since a time.
type pool struct {
	since  time.Duration
	agents []fleet.Name
}

// NewKeyTable returns a memory that knows no keys.
func NewKeyTable(cfg KeyTableConfig) *KeyTable {
	return &KeyTable{cfg: cfg, entries: map[Key]entry{}, pools: map[fleet.Work][]pool{}}
}

// KeyTableMsg is anything that a Memory can be told.
type KeyTableMsg interface{ isKeyTableMsg() }

// PoolMsg says which agents stand beside the servers of a work from now on.
type PoolMsg struct {
	Now    time.Duration
	Work   fleet.Work
	Agents []fleet.Name
}

// ReserveMsg asks to note a key for a request. Made is when the caller first
// used the key, by its clock, or zero if it does not say.
type ReserveMsg struct {
	Now       time.Duration
	Key       Key
	Holder    Holder
	CreatedAt time.Time
}

// ReleaseMsg says that the request which holds a key did not run.
type ReleaseMsg struct {
	Now    time.Duration
	Key    Key
	Holder Holder
}

func (PoolMsg) isKeyTableMsg()    {}
func (ReserveMsg) isKeyTableMsg() {}
func (ReleaseMsg) isKeyTableMsg() {}

// Update takes one message; the verdict has a meaning for ReserveMsg only.
func (m *KeyTable) Update(msg KeyTableMsg) Verdict {
	switch msg := msg.(type) {
	case PoolMsg:
		m.setPool(msg)
	case ReserveMsg:
		m.sweep(msg.Now)
		return m.reserve(msg)
	case ReleaseMsg:
		if n, ok := m.entries[msg.Key]; ok && n.holder == msg.Holder {
			delete(m.entries, msg.Key)
		}
	}
	return VerdictUncertain
}

// Len returns how many keys are remembered.
func (m *KeyTable) Len() int { return len(m.entries) }

func (m *KeyTable) setPool(msg PoolMsg) {
	pools := m.pools[msg.Work]
	if n := len(pools); n > 0 && slices.Equal(pools[n-1].agents, msg.Agents) {
		return
	}
	m.pools[msg.Work] = append(pools, pool{since: msg.Now, agents: slices.Clone(msg.Agents)})
}

func (m *KeyTable) reserve(msg ReserveMsg) Verdict {
	n, known := m.entries[msg.Key]
	if known && n.holder != msg.Holder {
		return VerdictDuplicate
	}
	if !known && len(m.entries) >= maxKeys {
		return VerdictUncertain
	}
	m.entries[msg.Key] = entry{holder: msg.Holder, reservedAt: msg.Now}
	if m.hasFullHistory(msg) {
		return VerdictReserved
	}
	return VerdictUncertain
}

// hasFullHistory tells whether the agent would know the key had it been noted before:
// it has lived, and owned the key in every pool, for as long as keys are
// remembered or since before the key was made.
func (m *KeyTable) hasFullHistory(msg ReserveMsg) bool {
	horizon := msg.Now - KeyTTL
	if !msg.CreatedAt.IsZero() {
		createdAt := msg.CreatedAt.Sub(m.cfg.StartedAt) - MaxClockSkew
		horizon = max(horizon, createdAt)
	}
	pools := m.pools[msg.Key.Work]
	for i, p := range pools {
		replaced := i+1 < len(pools) && pools[i+1].since < horizon
		if replaced {
			continue
		}
		if !slices.Contains(Owners(msg.Key, p.agents), m.cfg.Self) {
			return false
		}
	}
	return len(pools) > 0 && pools[0].since <= horizon
}

// sweep forgets keys and pools whose time is over, now and then.
func (m *KeyTable) sweep(now time.Duration) {
	if now-m.sweptAt < KeyTTL/10 {
		return
	}
	m.sweptAt = now
	for k, n := range m.entries {
		if now-n.reservedAt > KeyTTL {
			delete(m.entries, k)
		}
	}
	for w, pools := range m.pools {
		for len(pools) > 1 && pools[1].since < now-KeyTTL {
			pools = pools[1:]
		}
		m.pools[w] = pools
	}
}
