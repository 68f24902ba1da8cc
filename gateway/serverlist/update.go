package serverlist

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// Update updates a list of servers at revision From, or at any later one, to Revision. If From
// is 0, Servers is the whole list. Changes are sent instead of the list because a list of 3,000
// servers takes up about 330 kB and every router receives each change of it.
type Update struct {
	From     uint64
	Revision uint64
	Servers  []direct.Server // all servers, or those that are new or have changed
	Gone     []string        // ids of removed servers
}

// Apply returns the list that results from the update. If From is 0, that is the update's own list,
// whatever the current one is. Otherwise Apply returns nil if there is no current list, or if the
// current list is older than From or not older than Revision.
func (u *Update) Apply(current *List, now time.Duration) *direct.Directory {
	if u.From == 0 {
		return &direct.Directory{Revision: u.Revision, Servers: u.Servers}
	}
	if current == nil || current.Revision < u.From || current.Revision >= u.Revision {
		return nil
	}
	servers := make(map[string]direct.Server, len(current.Servers))
	for _, s := range current.Aged(now).Servers {
		servers[s.ID] = s
	}
	for _, id := range u.Gone {
		delete(servers, id)
	}
	for _, s := range u.Servers {
		servers[s.ID] = s
	}
	d := &direct.Directory{Revision: u.Revision, Servers: make([]direct.Server, 0, len(servers))}
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		d.Servers = append(d.Servers, servers[id])
	}
	return d
}

// IDs returns the ids of the servers that the update changes or removes.
func (u *Update) IDs() []string {
	out := slices.Clone(u.Gone)
	for _, s := range u.Servers {
		out = append(out, s.ID)
	}
	return out
}
