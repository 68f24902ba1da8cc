package loads

import (
	"maps"
	"time"
)

const (
	// copyRepeats is in how many lists each receiver is told of a copy: of ten datagrams
	// one may be lost, and of a copy that is not heard of the prompt is read once more.
	copyRepeats = 3
	// copyFor is how long a copy is told, and remembered so that a repeat is not taken for
	// a new one: longer than repeats take to arrive.
	copyFor = 700 * time.Millisecond
	// copiesKept bounds the copies that a router has to tell; the oldest are dropped.
	copiesKept = 512
	// copiesMost bounds the copies in one list, which stays well below a datagram.
	copiesMost = 32
	// copiesLeast is what a list may hold however many lists a round has: a copy must get
	// through in the end.
	copiesLeast = 4
	// copiesPerRound bounds the copies that an aggregator tells in a round, all lists
	// together: 100 kB a second at the most, with 15 bytes each.
	copiesPerRound = 160
)

// origin says how a router has come to know of a copy, which decides whom it tells.
type origin uint8

const (
	fromSelf   origin = iota // told to the aggregator, and as fromReport
	fromReport               // told to all that report here and to other halls
	fromSum                  // told to all that report here
	fromDigest               // told to nobody
)

// knownCopy is a copy that is being told.
type knownCopy struct {
	Copy
	at     time.Duration
	origin origin
	from   string // the router that told it
}

// copyLog holds the copies of the last copyFor, oldest first. The zero value is ready.
type copyLog struct {
	known   map[Copy]bool
	entries []knownCopy
	dropped uint64 // entries that came before the first one
}

// add takes in a copy, and tells whether it was new.
func (l *copyLog) add(one knownCopy) bool {
	if l.known[one.Copy] {
		return false
	}
	if l.known == nil {
		l.known = make(map[Copy]bool)
	}
	if len(l.entries) >= copiesKept {
		l.dropFirst()
	}
	l.known[one.Copy] = true
	l.entries = append(l.entries, one)
	return true
}

// drop forgets the copies that are no longer told.
func (l *copyLog) drop(now time.Duration) {
	for len(l.entries) > 0 && now-l.entries[0].at > copyFor {
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

// copyReader is how far one receiver has been told: the ends of the log at the time of the
// last lists to it, the latest first.
type copyReader struct {
	ends   [copyRepeats]uint64
	readAt time.Duration
}

// next returns the copies for the next list to a receiver: those that came since the oldest
// of the last copyRepeats lists, so that each copy is in as many lists. Where there are more
// than most, the newest are told.
func (l *copyLog) next(r *copyReader, most int, wanted func(knownCopy) bool) []Copy {
	begin := max(r.ends[copyRepeats-1], l.dropped) - l.dropped
	copy(r.ends[1:], r.ends[:])
	r.ends[0] = l.end()
	var out []Copy
	for i := len(l.entries) - 1; i >= int(begin) && len(out) < most; i-- {
		if wanted(l.entries[i]) {
			out = append(out, l.entries[i].Copy)
		}
	}
	return out
}

// takeCopies takes in copies that were told, and returns those that are new.
func (e *Exchange) takeCopies(now time.Duration, told []Copy, how origin, from string) []Copy {
	var fresh []Copy
	for _, c := range told {
		if e.copies.add(knownCopy{Copy: c, at: now, origin: how, from: from}) {
			fresh = append(fresh, c)
		}
	}
	return fresh
}

// copiesFor returns the copies for the next list to a router.
func (e *Exchange) copiesFor(now time.Duration, to string, kind Kind) []Copy {
	key := listKey{to: to, kind: kind}
	r := e.copyReaders[key]
	if r == nil {
		r = &copyReader{}
		e.copyReaders[key] = r
	}
	r.readAt = now
	return e.copies.next(r, e.copyBudget(), func(c knownCopy) bool { return tells(kind, c.origin) && c.from != to })
}

// tells tells whether a kind of list tells of copies that came in one way.
func tells(kind Kind, how origin) bool {
	switch kind {
	case Report:
		return how == fromSelf
	case Sum:
		return how <= fromReport
	case Digest:
		return how <= fromSum
	}
	return false
}

// copyBudget bounds the copies in one list.
func (e *Exchange) copyBudget() int {
	return min(max(copiesPerRound/(len(e.reports)+len(e.sums)+1), copiesLeast), copiesMost)
}

// dropCopies forgets old copies, and the receivers that are told nothing any more.
func (e *Exchange) dropCopies(now time.Duration) {
	e.copies.drop(now)
	maps.DeleteFunc(e.copyReaders, func(_ listKey, r *copyReader) bool { return now-r.readAt > copyFor })
}

// listKey names the lists of one kind that are sent to one router.
type listKey struct {
	to   string
	kind Kind
}
