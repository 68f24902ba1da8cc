package rollouts

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// writeTimeout bounds a write to the store. A healthy store responds far sooner, and a write
// without a response must be repeated before the order's deadline.
const writeTimeout = 1500 * time.Millisecond

// Store writes the status of orders, and records. Each write is conditional: it succeeds only
// if the object is unchanged.
type Store interface {
	// WriteStatus and WriteRecord return the current object, or nil if the store did not return
	// it.
	WriteStatus(ctx context.Context, service string, status rollout.Status) (rollout.WriteResult, *rollout.Order, error)
	WriteRecord(ctx context.Context, r rollout.Record) (rollout.WriteResult, *rollout.Record, error)
}

// write carries out one write. It queues the object that the store returned before the result
// of the write.
func (r *Runner) write(ctx context.Context, cmd rollout.WriteCmd) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var result rollout.WriteResult
	var err error
	switch cmd.Kind {
	case rollout.WriteStatus:
		var current *rollout.Order
		if result, current, err = r.o.Store.WriteStatus(ctx, cmd.Service, cmd.Status); current != nil {
			r.applyWrittenOrder(*current)
		}
	case rollout.WriteRecord:
		var current *rollout.Record
		if result, current, err = r.o.Store.WriteRecord(ctx, cmd.Record); current != nil {
			r.applyWrittenRecord(*current)
		}
	}
	r.logWrite(cmd, result, err)
	r.queue.put(rollout.WriteDoneMsg{Now: r.o.StateMachine.Now(), Service: cmd.Service, Kind: cmd.Kind, Result: result})
}

// applyWrittenOrder applies an order that the store returned for a write. Other routers receive
// it from the feed of orders.
func (r *Runner) applyWrittenOrder(order rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.OrdersMsg{Now: r.o.StateMachine.Now(), Orders: r.orders.applyWrite(order)})
}

// applyWrittenRecord applies a record that the store returned for a write.
func (r *Runner) applyWrittenRecord(record rollout.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.RecordsMsg{Now: r.o.StateMachine.Now(), Wall: time.Now(), Records: r.records.applyWrite(record)})
}
