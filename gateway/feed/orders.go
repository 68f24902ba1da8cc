package feed

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// maxOrdersWait is the longest that one call waits for a change of the orders. A change ends the
// wait at once, but a call without a response must not use up much of an order's deadline.
const maxOrdersWait = 2 * time.Second

// OrderSource provides the orders of rollouts.
type OrderSource interface {
	// ReadOrders returns all orders.
	ReadOrders(ctx context.Context) ([]rollout.Order, uint64, error)
	// WatchOrders waits for changes after a revision.
	WatchOrders(ctx context.Context, since uint64, wait time.Duration) ([]Change[rollout.Order], uint64, error)
}

// Orders is the feed of the orders of rollouts and their states. Without it, a router could
// send requests to a version that was rolled back.
type Orders struct{ *objectFeed[rollout.Order] }

func newOrders(o Options, onChange func()) *Orders {
	spec := Spec{Name: "orders", SourceName: "source of orders", Enabled: true, PeersFirst: true, MaxWait: maxOrdersWait}
	return &Orders{newObjectFeed(o, spec, objectSource[rollout.Order]{
		read: o.Source.ReadOrders, watch: o.Source.WatchOrders, countKey: "services",
		name: func(order rollout.Order) string { return order.Service },
	}, o.Rollouts.SetOrders, onChange)}
}
