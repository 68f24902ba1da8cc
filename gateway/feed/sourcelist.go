package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
)

const (
	// missingTTL is how long a server stays listed if its entry is missing after the source was
	// restored from a backup. Live servers write their entries again within about two seconds.
	missingTTL = 3 * time.Second
	// removalTTL is how long removals of servers are remembered. A backup is some seconds old
	// and may list a removed server again.
	removalTTL = 2 * time.Minute
)

// sourceList is the list of servers as read from the source.
type sourceList struct {
	servers map[string]listedServer // by name
	removed map[string]time.Time    // times of removal, by id
	// missing holds the names of servers that the restored source lacks. They stay listed
	// until missingUntil.
	missing      map[string]bool
	missingUntil time.Time
}

// listedServer is a server and the time at which it is no longer cold. ColdFor counts from the
// server's last heartbeat in an entry that is read, but from the list's creation in a list.
type listedServer struct {
	direct.Server
	coldUntil time.Time
}

// reset replaces the whole list.
func (l *sourceList) reset(servers []direct.Server) {
	l.servers = make(map[string]listedServer, len(servers))
	for _, s := range servers {
		l.set(s)
	}
}

// restore replaces the list after the source was restored from a backup. Servers that the backup lacks
// stay for missingTTL, because live servers write their entries again. Servers that were draining keep
// draining. Servers that were removed after the backup return only with an entry that is written after
// the restore.
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

// restoring reports whether the list holds servers that the restored source lacks.
func (l *sourceList) restoring() bool { return len(l.missing) > 0 }

// dropMissing removes the servers that are still missing at missingUntil, and returns their ids.
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

// apply applies changes, and returns the ids of the servers that were or are now listed under the
// changed names.
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

// recordRemoval records that a server was removed, and drops records older than removalTTL.
func (l *sourceList) recordRemoval(id string) {
	now := time.Now()
	if l.removed == nil {
		l.removed = make(map[string]time.Time)
	}
	maps.DeleteFunc(l.removed, func(_ string, removedAt time.Time) bool { return now.Sub(removedAt) > removalTTL })
	l.removed[id] = now
}

// set stores a server's entry that has just been read.
func (l *sourceList) set(s direct.Server) {
	l.servers[s.Name()] = listedServer{Server: s, coldUntil: time.Now().Add(s.ColdFor)}
}

// directory returns the current list, sorted by name.
func (l *sourceList) directory(revision uint64) *direct.Directory {
	d := &direct.Directory{Revision: revision, Servers: make([]direct.Server, 0, len(l.servers))}
	for _, name := range slices.Sorted(maps.Keys(l.servers)) {
		entry := l.servers[name]
		entry.Server.ColdFor = max(time.Until(entry.coldUntil), 0)
		d.Servers = append(d.Servers, entry.Server)
	}
	return d
}
