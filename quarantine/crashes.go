package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// addCrash adds a crash, and reports whether it is new and counts.
func (s *Suspects) addCrash(x *suspect, c crash) bool {
	if x.hasCrash(c) || x.clearedSince(c.at) {
		return false
	}
	if !x.crashedServer(c.server) {
		s.byServer[c.server] = append(s.byServer[c.server], x)
	}
	x.crashes = append(x.crashes, c)
	x.multiCrash = x.multiCrash || len(x.crashes) > 1
	slices.SortFunc(x.crashes, func(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server)) })
	if len(x.crashes) > maxCrashesKept {
		first := x.crashes[0].server
		x.crashes = x.crashes[1:]
		if !x.crashedServer(first) {
			s.unlink(x, first)
		}
	}
	return true
}

// clear discards all crashes up to the given time, and the store's record. The record of a part
// stays if the clearing is older than the evidence for it.
func (s *Suspects) clear(x *suspect, at time.Duration) {
	x.recorded = x.recorded && s.kind == Part && at <= x.lastEvidence()
	x.cleared.advance(at)
	crashes := x.crashes
	s.dropCrashes(x)
	for _, c := range crashes {
		s.addCrash(x, c)
	}
}

func (s *Suspects) dropCrashes(x *suspect) {
	for _, c := range x.crashes {
		s.unlink(x, c.server)
	}
	x.crashes = nil
}

// unlink removes a suspect from those of a server in byServer.
func (s *Suspects) unlink(x *suspect, server Server) {
	rest := slices.DeleteFunc(s.byServer[server], func(other *suspect) bool { return other == x })
	if len(rest) == 0 {
		delete(s.byServer, server)
		return
	}
	s.byServer[server] = rest
}
