package rollouts

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// writeTimeout bounds a call that writes: a healthy store answers far sooner, and a write
// without an answer must be repeated before the order's deadline.
const writeTimeout = 1500 * time.Millisecond

// Store is where states of orders and records are written, each on the condition that the
// object is still as it was.
type Store interface {
	// WriteStatus and WriteRecord return the object as it is now, where the store told.
	WriteStatus(ctx context.Context, service string, status rollout.Status) (rollout.WriteResult, *rollout.Order, error)
	WriteRecord(ctx context.Context, r rollout.Record) (rollout.WriteResult, *rollout.Record, error)
}

// write carries out one write. It tells the machine of the object that the store answered
// before it tells how the write ended.
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
	r.queue.put(rollout.WriteDoneMsg{Now: r.o.Decisions.Now(), Service: cmd.Service, Kind: cmd.Kind, Result: result})
}

// applyWrittenOrder takes in an order as it is after a write. Other routers learn of it from the
// feed of orders.
func (r *Runner) applyWrittenOrder(order rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.OrdersMsg{Now: r.o.Decisions.Now(), Orders: r.orders.applyWrite(order)})
}

// applyWrittenRecord takes in a record as it is after a write.
func (r *Runner) applyWrittenRecord(record rollout.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue.put(rollout.RecordsMsg{Now: r.o.Decisions.Now(), Wall: time.Now(), Records: r.records.applyWrite(record)})
}
