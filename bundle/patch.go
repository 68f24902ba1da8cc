package bundle

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/fleet"
)

// ErrPatch means that a patch does not apply to the active bundle. The receiver
// must request the whole bundle.
var ErrPatch = errors.New("bundle patch does not apply to the active bundle; request the whole bundle")

// Patch holds the changes from one bundle to another. It has no signature of its
// own, because the resulting bundle must have the digest that a signed order
// names.
type Patch struct {
	Policy         *Policy      `json:"policy,omitempty"`
	Limits         *Limits      `json:"limits,omitempty"`
	Teams          []Team       `json:"teams,omitempty"`
	RemovedTeams   []fleet.Team `json:"gone_teams,omitempty"`
	Works          []Work       `json:"works,omitempty"`
	RemovedWorks   []fleet.Work `json:"gone_works,omitempty"`
	Servers        []Server     `json:"servers,omitempty"`
	RemovedServers []fleet.Name `json:"gone_servers,omitempty"`
}

// NewPatch returns the patch that turns from into to.
func NewPatch(from, to Bundle) Patch {
	var p Patch
	if encodeJSON(from.Policy) != encodeJSON(to.Policy) {
		p.Policy = &to.Policy
	}
	if encodeJSON(from.Limits) != encodeJSON(to.Limits) {
		p.Limits = &to.Limits
	}
	p.Teams, p.RemovedTeams = diffEntries(from.Teams, to.Teams, func(t Team) fleet.Team { return t.Name })
	p.Works, p.RemovedWorks = diffEntries(from.Works, to.Works, func(w Work) fleet.Work { return w.Name })
	p.Servers, p.RemovedServers = diffEntries(from.Servers, to.Servers, func(s Server) fleet.Name { return s.Name })
	return p
}

// Encode returns the JSON that is sent over links.
func (p Patch) Encode() []byte {
	out, err := json.Marshal(p)
	if err != nil {
		panic(err) // unreachable: plain structs of strings and numbers always encode
	}
	return out
}

// DecodePatch decodes the output of Encode.
func DecodePatch(data []byte) (Patch, error) {
	var p Patch
	err := json.Unmarshal(data, &p)
	return p, errors.Wrap(err, "decode bundle patch")
}

// Apply returns b with the patch applied. Lists that the patch changes are in
// canonical order.
func (p Patch) Apply(b Bundle) Bundle {
	if p.Policy != nil {
		b.Policy = *p.Policy
	}
	if p.Limits != nil {
		b.Limits = *p.Limits
	}
	b.Teams = patchEntries(b.Teams, p.Teams, p.RemovedTeams, func(t Team) fleet.Team { return t.Name })
	b.Works = patchEntries(b.Works, p.Works, p.RemovedWorks, func(w Work) fleet.Work { return w.Name })
	b.Servers = patchEntries(b.Servers, p.Servers, p.RemovedServers, func(s Server) fleet.Name { return s.Name })
	return b
}

// diffEntries returns the entries of to that are new or differ from those in
// from, and the sorted names of the entries that only from has.
func diffEntries[E any, N cmp.Ordered](from, to []E, name func(E) N) (changed []E, removed []N) {
	old := map[N]string{}
	for _, e := range from {
		old[name(e)] = encodeJSON(e)
	}
	for _, e := range to {
		if before, ok := old[name(e)]; !ok || before != encodeJSON(e) {
			changed = append(changed, e)
		}
		delete(old, name(e))
	}
	for n := range old {
		removed = append(removed, n)
	}
	slices.Sort(removed)
	return changed, removed
}

// patchEntries returns list with the changed entries replaced or added and the
// removed ones left out, sorted by name.
func patchEntries[E any, N cmp.Ordered](list, changed []E, removed []N, name func(E) N) []E {
	if len(changed)+len(removed) == 0 {
		return list
	}
	omit := map[N]bool{}
	for _, n := range removed {
		omit[n] = true
	}
	for _, e := range changed {
		omit[name(e)] = true
	}
	out := make([]E, 0, len(list)+len(changed))
	for _, e := range list {
		if !omit[name(e)] {
			out = append(out, e)
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, func(a, b E) int { return cmp.Compare(name(a), name(b)) })
	return out
}
