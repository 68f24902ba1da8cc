package serverlist

import (
	"maps"
	"slices"
	"time"

	"github.com/croftvale/croftvale/direct"
)

// Update brings a list of servers at revision From, or at any later one, to
// Revision. Where From is 0, Servers are the whole list. A list of 3,000 servers has some
// 330 kB, and every router takes in each change of it.
type Update struct {
	From     uint64
	Revision uint64
	Servers  []direct.Server // all, or those that are new or have changed
	Gone     []string        // ids
}

// Apply returns the list that an update leads to. It returns nil where the update says
// nothing new or does not start from what is known.
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

// IDs returns the servers that the update names.
func (u *Update) IDs() []string {
	out := slices.Clone(u.Gone)
	for _, s := range u.Servers {
		out = append(out, s.ID)
	}
	return out
}
