package loads

import (
	"maps"
	"time"
)

const (
	// copyRepeats is in how many lists each receiver is told of a copy: of ten datagrams
	// one may be lost, and of a copy that is not heard of the prompt is read once more.
	copyRepeats = 3
	// copyTTL is how long a copy is told, and remembered so that a repeat is not taken for
	// a new one: longer than repeats take to arrive.
	copyTTL = 700 * time.Millisecond
	// maxLoggedCopies bounds the copies that a router has to tell; the oldest are dropped.
	maxLoggedCopies = 512
	// maxCopiesPerList bounds the copies in one list, which stays well below a datagram.
	maxCopiesPerList = 32
	// minCopiesPerList is what a list may hold however many lists a round has: a copy must get
	// through in the end.
	minCopiesPerList = 4
	// maxCopiesPerRound bounds the copies that an aggregator tells in a round, all lists
	// together: 100 kB a second at the most, with 15 bytes each.
	maxCopiesPerRound = 160
)

// copyOrigin says how a router has come to know of a copy, which decides whom it tells.
type copyOrigin uint8

const (
	fromSelf   copyOrigin = iota // told to the aggregator, and as fromReport
	fromReport                   // told to all that report here and to other halls
	fromSum                      // told to all that report here
	fromDigest                   // told to nobody
)

// copyEntry is a copy that is being told.
type copyEntry struct {
	Copy
	at     time.Duration
	origin copyOrigin
	from   string // the router that told it
}

// copyLog holds the copies of the last copyFor, oldest first. The zero value is ready.
type copyLog struct {
	known   map[Copy]bool
	entries []copyEntry
	dropped uint64 // entries that came before the first one
}

// add takes in a copy, and tells whether it was new.
func (l *copyLog) add(entry copyEntry) bool {
	if l.known[entry.Copy] {
		return false
	}
	if l.known == nil {
		l.known = make(map[Copy]bool)
	}
	if len(l.entries) >= maxLoggedCopies {
		l.dropFirst()
	}
	l.known[entry.Copy] = true
	l.entries = append(l.entries, entry)
	return true
}

// dropExpired forgets the copies that are no longer told.
func (l *copyLog) dropExpired(now time.Duration) {
	for len(l.entries) > 0 && now-l.entries[0].at > copyTTL {
		l.dropFirst()
	}
}

func (l *copyLog) dropFirst() {
	delete(l.known, l.entries[0].Copy)
	l.entries = l.entries[1:]
	l.dropped++
}

// end is the position after the last entry.
func (l *copyLog) end() uint64 { return l.dropped + uint64(len(l.entries)) }

// copyCursor is how far one receiver has been told: the ends of the log at the time of the
// last lists to it, the latest first.
type copyCursor struct {
	ends   [copyRepeats]uint64
	usedAt time.Duration
}

// next returns the copies for the next list to a receiver: those that came since the oldest
// of the last copyRepeats lists, so that each copy is in as many lists. Where there are more
// than most, the newest are told.
func (l *copyLog) next(r *copyCursor, limit int, match func(copyEntry) bool) []Copy {
	begin := max(r.ends[copyRepeats-1], l.dropped) - l.dropped
	copy(r.ends[1:], r.ends[:])
	r.ends[0] = l.end()
	var out []Copy
	for i := len(l.entries) - 1; i >= int(begin) && len(out) < limit; i-- {
		if match(l.entries[i]) {
			out = append(out, l.entries[i].Copy)
		}
	}
	return out
}

// addCopies takes in copies that were told, and returns those that are new.
func (e *Exchange) addCopies(now time.Duration, received []Copy, origin copyOrigin, from string) []Copy {
	var fresh []Copy
	for _, c := range received {
		if e.copies.add(copyEntry{Copy: c, at: now, origin: origin, from: from}) {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// copiesFor returns the copies for the next list to a router.
func (e *Exchange) copiesFor(now time.Duration, to string, kind Kind) []Copy {
	key := listKey{to: to, kind: kind}
	r := e.copyCursors[key]
	if r == nil {
		r = &copyCursor{}
		e.copyCursors[key] = r
	}
	r.usedAt = now
	return e.copies.next(r, e.copiesPerList(), func(c copyEntry) bool { return carriesOrigin(kind, c.origin) && c.from != to })
}

// carriesOrigin carriesOrigin whether a kind of list carriesOrigin of copies that came in one way.
func carriesOrigin(kind Kind, origin copyOrigin) bool {
	switch kind {
	case Report:
		return origin == fromSelf
	case Sum:
		return origin <= fromReport
	case Digest:
		return origin <= fromSum
	}
	return false
}

// copiesPerList bounds the copies in one list.
func (e *Exchange) copiesPerList() int {
	return min(max(maxCopiesPerRound/(len(e.reports)+len(e.sums)+1), minCopiesPerList), maxCopiesPerList)
}

// dropCopies forgets old copies, and the receivers that are told nothing any more.
func (e *Exchange) dropCopies(now time.Duration) {
	e.copies.dropExpired(now)
	maps.DeleteFunc(e.copyCursors, func(_ listKey, r *copyCursor) bool { return now-r.usedAt > copyTTL })
}

// listKey names the lists of one kind that are sent to one router.
type listKey struct {
	to   string
	kind Kind
}
