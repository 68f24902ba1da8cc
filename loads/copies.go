package loads

import (
	"maps"
	"time"
)

const (
	// copyRepeats is the number of lists in which a copy is announced to each receiver. One in ten
	// datagrams may be lost, and a receiver that misses a copy may send the prompt to a server that
	// has to process it again.
	copyRepeats = 3
	// copyTTL is how long a copy is announced, and remembered so that a repeat is not taken for a
	// new copy. It is longer than repeats take to arrive.
	copyTTL = 700 * time.Millisecond
	// maxLoggedCopies bounds the copies in the log; the oldest are dropped.
	maxLoggedCopies = 512
	// maxCopiesPerList bounds the copies in one list, which stays well below the size of a
	// datagram.
	maxCopiesPerList = 32
	// minCopiesPerList is the number of copies that a list may hold however many lists a round has,
	// so that every copy is sent eventually.
	minCopiesPerList = 4
	// maxCopiesPerRound bounds the copies that an aggregator sends in all lists of a round: at 15
	// bytes each, at most 100 kB per second.
	maxCopiesPerRound = 160
)

// copyOrigin is how a router learned of a copy. It determines which lists announce the copy.
type copyOrigin uint8

const (
	fromSelf   copyOrigin = iota // sent to the aggregator, and to the receivers of fromReport
	fromReport                   // sent to all routers that report here and to other halls
	fromSum                      // sent to all routers that report here
	fromDigest                   // not sent
)

// copyEntry is a copy that is being announced.
type copyEntry struct {
	Copy
	at     time.Duration
	origin copyOrigin
	from   string // the router that announced it
}

// copyLog holds the copies of the last copyTTL, oldest first. The zero value is ready to use.
type copyLog struct {
	known   map[Copy]bool
	entries []copyEntry
	dropped uint64 // number of entries dropped from the front
}

// add adds a copy and reports whether it was new.
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

// dropExpired removes the copies that are older than copyTTL.
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

// end returns the position after the last entry.
func (l *copyLog) end() uint64 { return l.dropped + uint64(len(l.entries)) }

// copyCursor records how far a receiver has been sent the log: the end of the log at each of the
// last lists to it, latest first.
type copyCursor struct {
	ends   [copyRepeats]uint64
	usedAt time.Duration
}

// next returns the copies for the next list to a receiver: those added since the oldest of its last
// copyRepeats lists. Each copy is thus in copyRepeats lists. If more than limit match, next returns
// the newest.
func (l *copyLog) next(cursor *copyCursor, limit int, match func(copyEntry) bool) []Copy {
	begin := max(cursor.ends[copyRepeats-1], l.dropped) - l.dropped
	copy(cursor.ends[1:], cursor.ends[:])
	cursor.ends[0] = l.end()
	var out []Copy
	for i := len(l.entries) - 1; i >= int(begin) && len(out) < limit; i-- {
		if match(l.entries[i]) {
			out = append(out, l.entries[i].Copy)
		}
	}
	return out
}

// addCopies adds received copies to the log and returns the new ones.
func (e *Exchange) addCopies(now time.Duration, received []Copy, origin copyOrigin, from string) []Copy {
	var added []Copy
	for _, c := range received {
		if e.copies.add(copyEntry{Copy: c, at: now, origin: origin, from: from}) {
			added = append(added, c)
		}
	}
	return added
}

// copiesFor returns the copies for the next list to a router.
func (e *Exchange) copiesFor(now time.Duration, to string, kind Kind) []Copy {
	key := listKey{to: to, kind: kind}
	cursor := e.copyCursors[key]
	if cursor == nil {
		cursor = &copyCursor{}
		e.copyCursors[key] = cursor
	}
	cursor.usedAt = now
	return e.copies.next(cursor, e.copiesPerList(), func(c copyEntry) bool { return carriesOrigin(kind, c.origin) && c.from != to })
}

// carriesOrigin reports whether lists of a kind announce copies of an origin.
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

// copiesPerList returns the maximum number of copies in one list.
func (e *Exchange) copiesPerList() int {
	return min(max(maxCopiesPerRound/(len(e.reports)+len(e.sums)+1), minCopiesPerList), maxCopiesPerList)
}

// dropCopies removes expired copies, and the cursors of receivers that are no longer sent lists.
func (e *Exchange) dropCopies(now time.Duration) {
	e.copies.dropExpired(now)
	maps.DeleteFunc(e.copyCursors, func(_ listKey, cursor *copyCursor) bool { return now-cursor.usedAt > copyTTL })
}

// listKey identifies the lists of one kind that are sent to one router.
type listKey struct {
	to   string
	kind Kind
}
