package rollouts

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newOrderView() objectView[rollout.Order] {
	return objectView[rollout.Order]{
		service:  func(o rollout.Order) string { return o.Service },
		revision: func(o rollout.Order) uint64 { return o.Revision },
	}
}

// TestRolloutObjectView simulates a store whose objects are added, changed and deleted. It applies
// listings in order, and written objects late and more than once. The view holds the newest
// object of each service that it has received, and no object that a newer listing lacks.
func TestRolloutObjectView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := newOrderView()
		revision, listedRevision := uint64(0), uint64(0)
		stored := map[string]rollout.Order{} // current objects of the store
		want := map[string]rollout.Order{}   // expected in the view
		var written []rollout.Order
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			service := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "service"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				revision++
				stored[service] = rollout.Order{Service: service, Revision: revision}
				written = append(written, stored[service])
			case 1:
				revision++
				delete(stored, service)
			case 2:
				listedRevision = revision
				clear(want)
				l := feed.Listing[rollout.Order]{Revision: revision}
				for name, o := range stored {
					want[name] = o
					l.All = append(l.All, o)
				}
				require.Equal(t, sortedOrders(want), sorted(view.applyListing(l)))
			case 3:
				if len(written) == 0 {
					continue
				}
				o := rapid.SampledFrom(written).Draw(t, "written")
				if o.Revision > listedRevision && o.Revision > want[o.Service].Revision {
					want[o.Service] = o
				}
				require.Equal(t, sortedOrders(want), sorted(view.applyWrite(o)))
			}
		}
	})
}

func sortedOrders(m map[string]rollout.Order) []rollout.Order {
	out := make([]rollout.Order, 0, len(m))
	for _, o := range m {
		out = append(out, o)
	}
	return sorted(out)
}

func sorted(orders []rollout.Order) []rollout.Order {
	slices.SortFunc(orders, func(a, b rollout.Order) int { return cmp.Compare(a.Service, b.Service) })
	return orders
}
