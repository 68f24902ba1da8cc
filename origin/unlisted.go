package origin

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// maxUnlistedStarts bounds the starts of servers of one service that are kept without an entry.
const maxUnlistedStarts = 1024

// unlistedStarts holds the starts of servers which serve though no entry names them, by service: the time
// until which streams that began there may be resumed. Their version is not known.
type unlistedStarts map[string]map[string]time.Duration

// add adds a start that has been met; an empty one is not known.
func (u unlistedStarts) add(now time.Duration, service, start string) {
	if start == "" {
		return
	}
	starts := u[service]
	if starts == nil {
		starts = make(map[string]time.Duration)
		u[service] = starts
	}
	if _, known := starts[start]; known || len(starts) < maxUnlistedStarts {
		starts[start] = now + MaxLifetime
	}
}

// any reports whether a service has such a start.
func (u unlistedStarts) any(service string) bool { return len(u[service]) > 0 }

// list removes the starts that entries name: from then on their versions are listed.
func (u unlistedStarts) list(servers []string) {
	for _, starts := range u {
		if len(starts) > 0 {
			maps.DeleteFunc(starts, func(start string, _ time.Duration) bool { return slices.Contains(servers, start) })
		}
	}
}

func (u unlistedStarts) expire(now time.Duration) {
	for service, starts := range u {
		maps.DeleteFunc(starts, func(_ string, until time.Duration) bool { return until <= now })
		if len(starts) == 0 {
			delete(u, service)
		}
	}
}

// unlistedStart returns the start that an unknown version names; empty: none.
func unlistedStart(version string) string {
	start, _ := strings.CutPrefix(version, UnknownVersion)
	return start
}

// mayHaveBegunUnlisted reports whether a stream without a record may have begun at a server that had restarted
// since its entry: this router, or one that has answered, has met such a server, and some router that may have met
// it, too, has not answered, or is not known yet.
func (m *Machine) mayHaveBegunUnlisted(l *lookup) bool {
	met := m.unlisted.any(l.query.Service) || l.toldUnlisted
	return met && (len(l.unanswered) > 0 || l.contact.Missing > 0 || l.contact.Starting)
}
