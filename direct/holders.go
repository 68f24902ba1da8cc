package direct

import "time"

const (
	// maxParts bounds the parts that a router remembers the holders of.
	maxParts = 20000
	// holdersEach bounds the servers remembered for one part.
	holdersEach = 12
	// holderMemory is the longest time that a server is taken to keep a part
	// unused.
	holderMemory = 30 * time.Second
)

// holder is a server that has read a part.
type holder struct {
	server string
	at     time.Duration
}

// holders remembers which servers have read which shared parts of prompts.
type holders struct {
	parts map[uint64][]holder
}

// note says that a server has read a part.
func (h *holders) note(now time.Duration, part uint64, server string) {
	if h.parts == nil {
		h.parts = make(map[uint64][]holder)
	}
	list := h.parts[part]
	for i := range list {
		if list[i].server == server {
			list[i].at = now
			return
		}
	}
	if len(list) == 0 && len(h.parts) >= maxParts {
		h.forget(now)
	}
	if len(list) < holdersEach {
		h.parts[part] = append(list, holder{server: server, at: now})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].at < list[oldest].at {
			oldest = i
		}
	}
	list[oldest] = holder{server: server, at: now}
}

// of returns the servers that have read a part, some perhaps long ago.
func (h *holders) of(part uint64) []holder { return h.parts[part] }

// has tells whether a server is known to keep a part, when parts are kept for
// some time.
func (h *holders) has(now, kept time.Duration, part uint64, server string) bool {
	return keeps(h.parts[part], now, kept, server)
}

// keeps tells whether a server is among those that have read a part less than
// some time ago.
func keeps(list []holder, now, kept time.Duration, server string) bool {
	for i := range list {
		if list[i].server == server {
			return now-list[i].at < kept
		}
	}
	return false
}

// forget drops what is old, and everything where that is not enough.
func (h *holders) forget(now time.Duration) {
	for part, list := range h.parts {
		if now-list[0].at >= holderMemory {
			delete(h.parts, part)
		}
	}
	if len(h.parts) >= maxParts {
		clear(h.parts)
	}
}
