package origin

import (
	"slices"
	"time"
)

// maxRecords bounds the records that a router holds.
const maxRecords = 1 << 16

// entry is what a router knows of a stream.
type entry struct {
	version   string // or contradicted, or UnknownVersion
	expiresAt time.Duration
	service   string // of a stream that this router serves or served; empty: a record of another router
	shared    bool   // sent to other routers, or received from one
	delivered bool   // to its end, by this router
}

// table holds the entries of streams. The oldest are dropped when it is full.
type table struct {
	entries map[Key]entry
	order   []Key // oldest first; may contain keys without an entry
}

// get returns the unexpired entry of a stream.
func (t *table) get(now time.Duration, key Key) (entry, bool) {
	e, ok := t.entries[key]
	return e, ok && e.expiresAt > now
}

// put adds an entry or merges it into the one that exists.
func (t *table) put(now time.Duration, key Key, e entry) {
	old, known := t.get(now, key)
	if known {
		e.expiresAt = max(e.expiresAt, old.expiresAt)
		e.shared = e.shared || old.shared
		if e.service == "" {
			e.service = old.service
		}
		e.version = merge(old.version, e.version)
		t.entries[key] = e
		return
	}
	if t.entries == nil {
		t.entries = make(map[Key]entry)
	}
	if _, expired := t.entries[key]; !expired {
		t.order = append(t.order, key)
	}
	t.entries[key] = e
	t.evict()
}

// merge returns the version of a stream of which two versions are recorded.
func merge(a, b string) string {
	switch {
	case a == b, b == pendingVersion:
		return a
	case a == pendingVersion:
		return b
	case isUnknown(a) && isUnknown(b): // of two servers; neither is known to be right
		return contradicted
	case isUnknown(b):
		return a
	case isUnknown(a):
		return b
	}
	return contradicted
}

// evict drops the oldest entries beyond maxRecords.
func (t *table) evict() {
	for len(t.entries) > maxRecords {
		delete(t.entries, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *table) remove(key Key) { delete(t.entries, key) }

// expire drops expired entries.
func (t *table) expire(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(key Key) bool {
		e, ok := t.entries[key]
		if ok && e.expiresAt > now {
			return false
		}
		delete(t.entries, key)
		return true
	})
}
