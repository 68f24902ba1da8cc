package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/croftvale/croftvale/quarantine"
)

const (
	// keepEvery is the time between two looks for records that the store should get or lose:
	// routers that lose power sooner after a crash have few more.
	keepEvery = 250 * time.Millisecond
	// keepRetry is the time after a call that failed.
	keepRetry = time.Second
	// keepAgain is the time after which a call is made again whose change the feed hasn't brought,
	// which may take it as long as one call of its own.
	keepAgain = 35 * time.Second
	// keepTimeout bounds one call.
	keepTimeout = 1500 * time.Millisecond
)

// QuarantineStore is where records of barred contents are written.
type QuarantineStore interface {
	// AddQuarantine records that a content is barred; RemoveQuarantine deletes its record. Both
	// may be repeated.
	AddQuarantine(ctx context.Context, c quarantine.Fingerprint) error
	RemoveQuarantine(ctx context.Context, c quarantine.Fingerprint) error
}

// keeper writes the records of barred contents, as long as its router leads.
type keeper struct {
	core        *core
	leads       func() bool
	log         *eventlog.Log
	add, remove *recordWriter
}

func newKeeper(c *core, s QuarantineStore, leads func() bool, l *eventlog.Log) *keeper {
	return &keeper{
		core: c, leads: leads, log: l,
		add: newRecordWriter("add", s.AddQuarantine), remove: newRecordWriter("remove", s.RemoveQuarantine),
	}
}

// run keeps the records until ctx ends.
func (k *keeper) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, keepEvery)
		if !k.leads() {
			continue
		}
		add, remove := k.core.records()
		if !k.write(ctx, k.add, add) || !k.write(ctx, k.remove, remove) {
			wait.Sleep(ctx, keepRetry)
		}
	}
	return nil
}

// write makes one call for each content that none was made for lately, and tells whether all
// were done.
func (k *keeper) write(ctx context.Context, w *recordWriter, contents []quarantine.Fingerprint) bool {
	now := k.core.Now()
	w.forget(now)
	for _, c := range contents {
		if _, lately := w.done[c]; lately {
			continue
		}
		err := w.write(ctx, now, c)
		k.log.Event("quarantine_write").Str("content", c.String()).Str("what", w.what).Err(err).Msg("")
		if err != nil {
			return false
		}
	}
	return true
}

// recordWriter makes one kind of call for contents, and remembers for which it was made.
type recordWriter struct {
	what string // as logs name it
	call func(ctx context.Context, c quarantine.Fingerprint) error
	done map[quarantine.Fingerprint]time.Duration // when a call was done
}

func newRecordWriter(what string, call func(context.Context, quarantine.Fingerprint) error) *recordWriter {
	return &recordWriter{what: what, call: call, done: make(map[quarantine.Fingerprint]time.Duration)}
}

// forget drops the calls of which the feed should long have brought what they changed.
func (w *recordWriter) forget(now time.Duration) {
	maps.DeleteFunc(w.done, func(_ quarantine.Fingerprint, at time.Duration) bool { return now-at > keepAgain })
}

func (w *recordWriter) write(ctx context.Context, now time.Duration, c quarantine.Fingerprint) error {
	limited, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	err := w.call(limited, c)
	if err == nil {
		w.done[c] = now
	}
	return err
}
