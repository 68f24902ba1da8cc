package backend

import "time"

const (
	// minQuietEnd is how long nothing has to come before the end of an unframed response for it to be a sign that the
	// server is closing its connections. One that has finished closes the connection along with its last bytes.
	minQuietEnd = 5 * time.Millisecond
	// firstTeardownGap is the time after a sign in which the next connection has to end if the server is closing its
	// connections. A caller may allow no more than that for a response.
	firstTeardownGap = 100 * time.Millisecond
	// maxTeardownGap is the same after several signs. Connections of others may end in between.
	maxTeardownGap = 2 * firstTeardownGap
	// minTeardownGap is the least time that a server may take from one connection to the next, however fast it was before.
	minTeardownGap = 20 * time.Millisecond
	// steadySigns is the number of signs from which their own gaps tell how soon the next one has to come.
	steadySigns = 4
	// steadyGaps is that time in widest gaps between signs.
	steadyGaps = 4
	// quietHabit is how often a response with a quiet end has to be whole, in a row, for such an end to be no sign: the
	// server lets time pass before it closes a connection.
	quietHabit = 3
	// maxTeardownSigns bounds the signs that are kept of a server.
	maxTeardownSigns = 64
)

// teardownSign is the end of a connection as of a server that is closing its connections.
type teardownSign struct {
	at       time.Time
	openedAt time.Time // when the connection was opened
	quiet    bool      // it ended an unframed response some time after the last bytes
}

// teardownSigns are the signs that a server is closing its connections, one after the other. They prove nothing, but ask
// for another look. The zero value has none.
type teardownSigns struct {
	recent    []teardownSign // oldest first
	quiet     int            // how often, in a row, a response with a quiet end turned out to be whole, up to quietHabit
	countedAt time.Time      // when quiet last changed
}

// add records a sign, which is the latest one.
func (s *teardownSigns) add(sign teardownSign) {
	kept := s.recent[:0]
	for _, old := range s.recent[max(0, len(s.recent)-maxTeardownSigns+1):] {
		if sign.at.Sub(old.at) < maxTeardownGap {
			kept = append(kept, old)
		}
	}
	s.recent = append(kept, sign)
}

// closingUntil returns until when the server may go on closing its connections, as far as is known, if a response ended at
// a point in time, and the zero time without a sign. Connections that were opened since tell nothing: those that were
// open then would end as well.
func (s *teardownSigns) closingUntil(endedAt time.Time) time.Time {
	var last time.Time
	var widest time.Duration // from one sign to the next
	count := 0
	for _, sign := range s.recent {
		if sign.openedAt.After(endedAt) || sign.quiet && s.quiet >= quietHabit {
			continue
		}
		if count > 0 {
			widest = max(widest, sign.at.Sub(last))
		}
		count, last = count+1, sign.at
	}
	if count == 0 {
		return time.Time{}
	}
	return last.Add(nextGap(count, widest))
}

// nextGap returns the time after the last of several signs in which another connection has to end if the server is
// closing its connections.
func nextGap(signs int, widest time.Duration) time.Duration {
	switch {
	case signs == 1:
		return firstTeardownGap
	case signs < steadySigns:
		return maxTeardownGap
	}
	return min(max(steadyGaps*widest, minTeardownGap), maxTeardownGap)
}

// judged records that a response whose end was quiet, or not, has turned out to be whole, or not. Those that were waited
// for at the same time count once: what misled one misled all.
func (s *teardownSigns) judged(endedAt, now time.Time, quiet, whole bool) {
	switch {
	case !quiet || !whole:
		s.quiet, s.countedAt = 0, now
	case endedAt.After(s.countedAt):
		s.quiet, s.countedAt = min(s.quiet+1, quietHabit), now
	}
}
