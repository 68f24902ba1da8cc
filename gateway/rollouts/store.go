package rollouts

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// writeTimeout bounds a call that writes: a store that is there answers far sooner, and
// a write that goes unanswered has to be repeated before an order's deadline.
const writeTimeout = 1500 * time.Millisecond

// Store is where states of orders and records are written, each on the condition that the
// object is still as it was.
type Store interface {
	// WriteStatus and WriteRecord return the object as it is now, where the store told.
	WriteStatus(ctx context.Context, service string, status rollout.Status) (rollout.WriteResult, *rollout.Order, error)
	WriteRecord(ctx context.Context, r rollout.Record) (rollout.WriteResult, *rollout.Record, error)
}

// write carries out one write, and tells the machine what then holds before how it ended.
func (r *Runner) write(ctx context.Context, cmd rollout.WriteCmd) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var result rollout.WriteResult
	var err error
	switch cmd.Kind {
	case rollout.WriteStatus:
		var now *rollout.Order
		if result, now, err = r.o.Store.WriteStatus(ctx, cmd.Service, cmd.Status); now != nil {
			r.orderWritten(*now)
		}
	case rollout.WriteRecord:
		var now *rollout.Record
		if result, now, err = r.o.Store.WriteRecord(ctx, cmd.Record); now != nil {
			r.recordWritten(*now)
		}
	}
	r.logWrite(cmd, result, err)
	r.mail.put(rollout.WrittenMsg{Now: r.o.Core.Now(), Service: cmd.Service, Kind: cmd.Kind, Result: result})
}

// orderWritten takes an order in as a write left it. Others learn of it from those that
// follow the store.
func (r *Runner) orderWritten(order rollout.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mail.put(rollout.OrdersMsg{Now: r.o.Core.Now(), Orders: r.orders.write(order)})
}

func (r *Runner) recordWritten(record rollout.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mail.put(rollout.RecordsMsg{Now: r.o.Core.Now(), Wall: time.Now(), Records: r.records.write(record)})
}
