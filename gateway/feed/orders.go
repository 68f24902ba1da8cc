package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// maxOrdersWait is the most that one call waits for a change of the orders. A change ends the
// wait at once; but a call that goes unanswered must not take long out of an order's time.
const maxOrdersWait = 2 * time.Second

// OrderSource is where the orders of roll-outs are found.
type OrderSource interface {
	// ReadOrders returns all orders.
	ReadOrders(ctx context.Context) ([]rollout.Order, uint64, error)
	// WatchOrders waits for changes after a revision.
	WatchOrders(ctx context.Context, since uint64, wait time.Duration) ([]Change[rollout.Order], uint64, error)
}

// Orders is the feed of the orders of roll-outs, with what has become of them: without
// knowing them, a router could send requests to a version that was rolled back.
type Orders struct{ *objectFeed[rollout.Order] }

func newOrders(o Options, onChange func()) *Orders {
	spec := Spec{Name: "orders", SourceName: "source of orders", Enabled: true, PeersFirst: true, MaxWait: maxOrdersWait}
	return &Orders{newObjectFeed(o, spec, objectSource[rollout.Order]{
		read: o.Source.ReadOrders, watch: o.Source.WatchOrders, plural: "services",
		name: func(order rollout.Order) string { return order.Service },
	}, o.Rollouts.SetOrders, onChange)}
}
