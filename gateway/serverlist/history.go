package serverlist

import (
	"maps"
	"slices"

	"github.com/croftvale/croftvale/direct"
)

// historyLength is how many lists of servers back a router can tell what has changed. A
// router that is further behind gets the whole list.
const historyLength = 64

// History remembers which servers were touched from list to list. To compare lists
// would not do: a server that changed and changed back between two of them has to be told
// to a router that took a list between. The zero value is ready.
type History struct{ steps []historyStep }

// historyStep is the step from the list at one revision to the next that came.
type historyStep struct {
	from uint64
	ids  []string // all that were touched
}

// Record takes in that a list was replaced by a newer one, and which servers were touched
// since.
func (h *History) Record(from uint64, ids []string) {
	if len(h.steps) == historyLength {
		h.steps = slices.Delete(h.steps, 0, 1)
	}
	h.steps = append(h.steps, historyStep{from: from, ids: ids})
}

// Reset begins anew, after a list of which nobody knows what happened before it.
func (h *History) Reset() { h.steps = nil }

// Since returns what has changed since a revision, as an update to the list that is known
// now, and whether the history goes back so far. It begins at the newest list that was not
// newer than the revision: what changed between is told again, which does no harm.
func (h *History) Since(revision uint64, current *direct.Directory) (Update, bool) {
	first := -1
	for i, step := range h.steps {
		if step.from <= revision {
			first = i
		}
	}
	if first < 0 {
		return Update{}, false
	}
	changed := make(map[string]bool)
	for _, step := range h.steps[first:] {
		for _, id := range step.ids {
			changed[id] = true
		}
	}
	u := Update{From: h.steps[first].from, Revision: current.Revision}
	for _, s := range current.Servers {
		if changed[s.ID] {
			u.Servers = append(u.Servers, s)
			delete(changed, s.ID)
		}
	}
	u.Gone = slices.Sorted(maps.Keys(changed))
	return u, true
}
