package feed

import (
	"fmt"
	"testing"

	"github.com/croftvale/croftvale/direct"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestListsFollowIncarnations generates servers that are added, removed, and restarted under the same
// names. A router that pulls updates from another one at random times has the same list, with only the
// latest incarnation of each name.
func TestListsFollowIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := newTestSet().Servers, newTestSet().Servers
		sender.listed.reset(nil)
		last := make(map[string]string)
		for revision := range uint64(rapid.IntRange(1, 40).Draw(t, "changes")) {
			name := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "name"))
			change := Change[direct.Server]{Object: direct.Server{ID: name}, Deleted: rapid.IntRange(0, 3).Draw(t, "gone") == 0}
			delete(last, name)
			if !change.Deleted {
				change.Object.ID = fmt.Sprint(name, "@", rapid.IntRange(1, 3).Draw(t, "start"))
				change.Object.Draining = rapid.Bool().Draw(t, "drains")
				last[name] = change.Object.ID
			}
			ids := sender.listed.apply([]Change[direct.Server]{change})
			sender.OfferChanged(sender.listed.directory(revision+1), ids, fromSource)
			if rapid.Bool().Draw(t, "pulls") {
				u := sender.updateSince(receiver.Revision())
				receiver.offerUpdate(&u, "a")
				require.ElementsMatch(t, sender.Newest().Servers, receiver.Newest().Servers)
			}
		}
		require.Len(t, sender.Newest().Servers, len(last))
		for _, s := range sender.Newest().Servers {
			require.Equal(t, last[s.Name()], s.ID)
		}
	})
}
