package direct

import "time"

const (
	// maxTrackedParts bounds the parts that a router remembers the holders of.
	maxTrackedParts = 20000
	// maxHoldersPerPart bounds the servers remembered for one part.
	maxHoldersPerPart = 12
	// maxCacheTTL is the longest time that a server is taken to keep a part
	// unused.
	maxCacheTTL = 30 * time.Second
)

// partHolder is a server that has read a part.
type partHolder struct {
	server   string
	lastUsed time.Duration
}

// partHolders remembers which servers have read which shared parts of prompts.
type partHolders struct {
	parts map[uint64][]partHolder
}

// record says that a server has read a part.
func (h *partHolders) record(now time.Duration, part uint64, server string) {
	if h.parts == nil {
		h.parts = make(map[uint64][]partHolder)
	}
	list := h.parts[part]
	for i := range list {
		if list[i].server == server {
			list[i].lastUsed = now
			return
		}
	}
	if len(list) == 0 && len(h.parts) >= maxTrackedParts {
		h.evict(now)
	}
	if len(list) < maxHoldersPerPart {
		h.parts[part] = append(list, partHolder{server: server, lastUsed: now})
		return
	}
	oldest := 0
	for i := range list {
		if list[i].lastUsed < list[oldest].lastUsed {
			oldest = i
		}
	}
	list[oldest] = partHolder{server: server, lastUsed: now}
}

// holdersOf returns the servers that have read a part, some perhaps long ago.
func (h *partHolders) holdersOf(part uint64) []partHolder { return h.parts[part] }

// isHolder tells whether a server is known to keep a part, when parts are kept for
// some time.
func (h *partHolders) isHolder(now, ttl time.Duration, part uint64, server string) bool {
	return holdsPart(h.parts[part], now, ttl, server)
}

// holdsPart tells whether a server is among those that have read a part less than
// some time ago.
func holdsPart(list []partHolder, now, ttl time.Duration, server string) bool {
	for i := range list {
		if list[i].server == server {
			return now-list[i].lastUsed < ttl
		}
	}
	return false
}

// evict drops what is old, and everything where that is not enough.
func (h *partHolders) evict(now time.Duration) {
	for part, list := range h.parts {
		if now-list[0].lastUsed >= maxCacheTTL {
			delete(h.parts, part)
		}
	}
	if len(h.parts) >= maxTrackedParts {
		clear(h.parts)
	}
}
