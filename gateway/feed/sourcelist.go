package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// missingTTL is how long a server stays listed whose entry is missing since the source came
	// back from a copy: servers that live write their entries again within about two seconds.
	missingTTL = 3 * time.Second
	// removalTTL is how long it is remembered that a server has gone: a copy is seconds old, and
	// may list it again.
	removalTTL = 2 * time.Minute
)

// sourceList is the list of servers as the source alone tells it.
type sourceList struct {
	servers map[string]listedServer // by name
	removed map[string]time.Time    // when servers went, by id
	// lost are the names of servers that a copy of the source lacks and that are still listed,
	// until missingUntil.
	missing      map[string]bool
	missingUntil time.Time
}

// listedServer is a server and when it ceases to be cold. Its entry counts from its
// last heartbeat, a list of servers from when the list was made.
type listedServer struct {
	direct.Server
	coldUntil time.Time
}

// reset begins anew with a whole list.
func (l *sourceList) reset(servers []direct.Server) {
	l.servers = make(map[string]listedServer, len(servers))
	for _, s := range servers {
		l.set(s)
	}
}

// restore begins anew with what a copy of the source holds. Servers that it lacks stay for a
// moment, since those that live enter themselves again; what drained still drains; and what has gone
// since does not come back by the copy, but by an entry that is written after it.
func (l *sourceList) restore(restored, previous []direct.Server, now time.Time) {
	l.servers = make(map[string]listedServer, len(restored))
	for _, s := range restored {
		if removedAt, ok := l.removed[s.ID]; !ok || now.Sub(removedAt) > removalTTL {
			l.set(s)
		}
	}
	l.missing, l.missingUntil = make(map[string]bool), now.Add(missingTTL)
	for _, s := range previous {
		entry, listed := l.servers[s.Name()]
		switch {
		case !listed:
			l.set(s)
			l.missing[s.Name()] = true
		case entry.ID == s.ID && s.Draining:
			entry.Draining = true
			l.servers[s.Name()] = entry
		}
	}
}

// restoring tells whether servers are listed that a copy of the source lacks.
func (l *sourceList) restoring() bool { return len(l.missing) > 0 }

// dropMissing takes out what the source still lacks once it has had the time, and returns the ids.
func (l *sourceList) dropMissing(now time.Time) []string {
	if now.Before(l.missingUntil) {
		return nil
	}
	var ids []string
	for name := range l.missing {
		ids = append(ids, l.servers[name].ID)
		delete(l.servers, name)
	}
	l.missing = nil
	return ids
}

// apply takes changes in, and returns the ids of the servers that they concern: of what was
// listed under their names, and of what is now.
func (l *sourceList) apply(changes []Change[direct.Server]) []string {
	ids := make([]string, 0, len(changes))
	for _, c := range changes {
		if old, listed := l.servers[c.Object.Name()]; listed {
			ids = append(ids, old.ID)
		}
		delete(l.missing, c.Object.Name())
		if c.Deleted {
			l.recordRemoval(l.servers[c.Object.Name()].ID)
			delete(l.servers, c.Object.Name())
			continue
		}
		l.set(c.Object)
		ids = append(ids, c.Object.ID)
	}
	return ids
}

// went remembers that a server has gone, and forgets those that went long ago.
func (l *sourceList) recordRemoval(id string) {
	now := time.Now()
	if l.removed == nil {
		l.removed = make(map[string]time.Time)
	}
	maps.DeleteFunc(l.removed, func(_ string, removedAt time.Time) bool { return now.Sub(removedAt) > removalTTL })
	l.removed[id] = now
}

// set takes in a server's entry that has just been read.
func (l *sourceList) set(s direct.Server) {
	l.servers[s.Name()] = listedServer{Server: s, coldUntil: time.Now().Add(s.ColdFor)}
}

// directory returns the list as it is now, by name.
func (l *sourceList) directory(revision uint64) *direct.Directory {
	d := &direct.Directory{Revision: revision, Servers: make([]direct.Server, 0, len(l.servers))}
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		entry := l.servers[name]
		entry.Server.ColdFor = max(time.Until(entry.coldUntil), 0)
		d.Servers = append(d.Servers, entry.Server)
	}
	return d
}
