package quarantine

import (
	"slices"
	"time"
)

// maxCrashLog is the number of crashes that a router remembers for comparison.
const maxCrashLog = 128

// crashLog holds the latest crashes of servers, whatever these were executing, oldest first.
type crashLog []crash

// add adds a crash unless it is known.
func (l *crashLog) add(c crash) {
	if slices.ContainsFunc(*l, c.isSame) {
		return
	}
	if len(*l) >= maxCrashLog {
		*l = slices.Delete(*l, 0, len(*l)-maxCrashLog+1)
	}
	*l = append(*l, c)
}

// crashesSince returns the number of crashes since the first one under x, without those that another
// barred part explains.
func (s *Suspects) crashesSince(x *suspect) int {
	if len(x.crashes) == 0 {
		return 0
	}
	first, n := x.crashes[0].at-crashDedupWindow, 0
	for _, c := range s.crashLog {
		if c.at >= first && !s.hasBarredCause(c.server, x) {
			n++
		}
	}
	return n
}

// hasBarredCause reports whether a barred part other than x was present when a server crashed.
func (s *Suspects) hasBarredCause(server Server, x *suspect) bool {
	return slices.ContainsFunc(s.byServer[server], func(other *suspect) bool { return other != x && other.barred })
}

// expire removes the crashes before the given time.
func (l *crashLog) expire(before time.Duration) {
	*l = slices.DeleteFunc(*l, func(c crash) bool { return c.at < before })
}
