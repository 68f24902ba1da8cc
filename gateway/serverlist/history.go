package serverlist

import (
	"maps"
	"slices"

	"github.com/croftvale/croftvale/direct"
)

// historyLength is the maximum number of steps in a History. A router that is further behind gets
// the whole list.
const historyLength = 64

// History records which servers were added, changed or removed from list to list. Comparing two
// lists is not enough: it misses a server that changed and changed back between them, and a router
// that received a list from in between needs that server, too. The zero value is ready to use.
type History struct{ steps []historyStep }

// historyStep is the step from the list at one revision to the next list received.
type historyStep struct {
	from uint64
	ids  []string // of the servers that were added, changed or removed
}

// Record adds the step from the list at a revision to a newer one, with the ids of the servers
// that were added, changed or removed.
func (h *History) Record(from uint64, ids []string) {
	if len(h.steps) == historyLength {
		h.steps = slices.Delete(h.steps, 0, 1)
	}
	h.steps = append(h.steps, historyStep{from: from, ids: ids})
}

// Reset clears the history, after a list whose changes from the previous one are unknown.
func (h *History) Reset() { h.steps = nil }

// Since returns the update from a revision to the current list, and reports whether the history
// goes back that far. The update starts at the newest recorded list that is not newer than the
// revision, so it may repeat changes that the receiver has already applied, which is harmless.
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
