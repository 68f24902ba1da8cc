package direct

import "time"

const (
	// maxTrackedParts bounds the parts whose holders a router tracks.
	maxTrackedParts = 20000
	// maxHoldersPerPart bounds the holders tracked for one part.
	maxHoldersPerPart = 12
	// maxCacheTTL is the maximum time for which a server is assumed to keep an unused part.
	maxCacheTTL = 30 * time.Second
)

// partHolder is a server that has read a part.
type partHolder struct {
	server   string
	lastUsed time.Duration
}

// partHolders tracks which servers have read which shared parts of prompts.
type partHolders struct {
	parts map[uint64][]partHolder
}

// record records that a server has read a part now.
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

// holdersOf returns the servers that have read a part, including those whose copy may have
// expired.
func (h *partHolders) holdersOf(part uint64) []partHolder { return h.parts[part] }

// isHolder reports whether a server has read a part within the TTL.
func (h *partHolders) isHolder(now, ttl time.Duration, part uint64, server string) bool {
	return holdsPart(h.parts[part], now, ttl, server)
}

// holdsPart reports whether a list of holders has a server that read the part within the TTL.
func holdsPart(list []partHolder, now, ttl time.Duration, server string) bool {
	for i := range list {
		if list[i].server == server {
			return now-list[i].lastUsed < ttl
		}
	}
	return false
}

// evict drops the parts whose first holder is older than maxCacheTTL, and all parts if that
// does not free any space.
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
