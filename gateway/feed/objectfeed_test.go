package feed

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/traffic"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// recordedRollouts records the latest data from the feeds.
type recordedRollouts struct {
	orders   Listing[rollout.Order]
	records  Listing[rollout.Record]
	versions map[string][]string
}

func (r *recordedRollouts) SetOrders(l Listing[rollout.Order])       { r.orders = l }
func (r *recordedRollouts) SetRecords(l Listing[rollout.Record])     { r.records = l }
func (r *recordedRollouts) SetVersions(versions map[string][]string) { r.versions = versions }

// orderSource has two orders. The first watch reports one as deleted and the other as changed.
type orderSource struct{ Source }

func (orderSource) ReadOrders(context.Context) ([]rollout.Order, uint64, error) {
	return []rollout.Order{{Service: "llm", Target: "v2", Revision: 4}, {Service: "app", Target: "v5", Revision: 3}}, 7, nil
}

func (orderSource) WatchOrders(_ context.Context, since uint64, _ time.Duration) ([]Change[rollout.Order], uint64, error) {
	if since == 7 {
		return []Change[rollout.Order]{
			{Object: rollout.Order{Service: "app"}, Deleted: true},
			{Object: rollout.Order{Service: "llm", Target: "v3", Revision: 9}},
		}, 9, nil
	}
	return nil, since + 1, nil
}

func (orderSource) ReadRecords(context.Context) ([]rollout.Record, uint64, error) {
	return []rollout.Record{{Service: "llm", InUse: []string{"v1"}, Revision: 2}}, 7, nil
}

func newRolloutSet(source Source) (*Set, *recordedRollouts) {
	recorded := &recordedRollouts{}
	o := newTestSet().Config.o
	o.Source, o.Rollouts = source, recorded
	return NewSet(o), recorded
}

// TestRolloutFeeds reads and watches orders and records with rollouts enabled. A change results in a
// complete listing, and the set is complete only with both orders and records.
func TestRolloutFeeds(t *testing.T) {
	s, recorded := newRolloutSet(orderSource{})
	s.Config.Offer(&direct.Config{Version: 1}, fromSource)
	s.Evacuations.Offer(&direct.Evacuations{Revision: 1}, fromSource)
	s.Servers.OfferAll(&direct.Directory{Revision: 1, Servers: []direct.Server{
		{ID: "i-1", Service: "llm", Version: "v2"}, {ID: "i-2", Service: "llm", Version: "v1"}, {ID: "i-3", Service: "llm", Version: "v2"}, {ID: "i-4", Service: "app"},
	}}, fromSource)
	require.Equal(t, map[string][]string{"llm": {"v1", "v2"}, "app": {""}}, recorded.versions)
	revision, err := s.Orders.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, []rollout.Order{{Service: "app", Target: "v5", Revision: 3}, {Service: "llm", Target: "v2", Revision: 4}}, recorded.orders.All)
	require.False(t, s.Complete(), "there are no records yet")
	_, err = s.Records.Read(t.Context())
	require.NoError(t, err)
	require.True(t, s.Complete())
	revision, err = s.Orders.Watch(t.Context(), revision, time.Second)
	require.NoError(t, err)
	require.Equal(t, Listing[rollout.Order]{Revision: 9, All: []rollout.Order{{Service: "llm", Target: "v3", Revision: 9}}}, recorded.orders)
	_, err = s.Orders.Watch(t.Context(), revision, time.Second)
	require.NoError(t, err)
	require.EqualValues(t, 9, s.Orders.Revision(), "a watch without changes offers nothing")
}

// TestRolloutFeedsArePulled pulls orders and records from another router. The bytes count as traffic of
// their own kinds.
func TestRolloutFeedsArePulled(t *testing.T) {
	sender, _ := newRolloutSet(orderSource{})
	order := rollout.Order{Service: "llm", Target: "v2", Within: time.Minute, Made: "3", Revision: 4, State: rollout.Completed, StateTarget: "v2"}
	sender.Orders.Offer(&Listing[rollout.Order]{Revision: 7, All: []rollout.Order{order}}, fromSource)
	record := rollout.Record{Service: "llm", Revision: 2, InUse: []string{"v1"}, Stage: rollout.Half, Age: time.Second, Wall: time.UnixMilli(5)}
	sender.Records.Offer(&Listing[rollout.Record]{Revision: 8, All: []rollout.Record{record}}, fromSource)
	server := httptest.NewServer(sender.Handler())
	defer server.Close()
	receiver, recorded := newRolloutSet(orderSource{})
	counter := traffic.NewCounter(tally.NoopScope)
	p, err := NewPuller(receiver, PullOptions{ControlAddress: "127.0.0.1:1", Peers: otherHallPeers{}, Traffic: counter})
	require.NoError(t, err)
	for i, f := range receiver.feeds[3:5] {
		require.NoError(t, p.pull(t.Context(), 3+i, server.Listener.Addr().String()))
		require.Positive(t, counter.Sums()[f.Spec().Name].BetweenHalls)
	}
	require.Equal(t, Revisions{0, 0, 0, 7, 8, 0, 0}, receiver.Revisions())
	require.Equal(t, order, recorded.orders.All[0])
	require.True(t, record.Wall.Equal(recorded.records.All[0].Wall))
	recorded.records.All[0].Wall = record.Wall
	require.Equal(t, record, recorded.records.All[0])
}
