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
	// recordInterval is the time between two looks for records that the store should get or lose:
	// routers that lose power sooner after a crash have few more.
	recordInterval = 250 * time.Millisecond
	// recordRetryDelay is the time after a call that failed.
	recordRetryDelay = time.Second
	// recordRepeatDelay is the time after which a call is made again whose change the feed hasn't brought,
	// which may take it as long as one call of its own.
	recordRepeatDelay = 35 * time.Second
	// recordTimeout bounds one call.
	recordTimeout = 1500 * time.Millisecond
)

// QuarantineStore is where records of barred contents are written.
type QuarantineStore interface {
	// AddQuarantine records that a content is barred; RemoveQuarantine deletes its record. Both
	// may be repeated.
	AddQuarantine(ctx context.Context, c quarantine.Fingerprint) error
	RemoveQuarantine(ctx context.Context, c quarantine.Fingerprint) error
}

// quarantineRecorder writes the records of barred contents, as long as its router leads.
type quarantineRecorder struct {
	core        *core
	leads       func() bool
	log         *eventlog.Log
	add, remove *recordWriter
}

func newQuarantineRecorder(c *core, s QuarantineStore, leads func() bool, l *eventlog.Log) *quarantineRecorder {
	return &quarantineRecorder{
		core: c, leads: leads, log: l,
		add: newRecordWriter("add", s.AddQuarantine), remove: newRecordWriter("remove", s.RemoveQuarantine),
	}
}

// run keeps the records until ctx ends.
func (k *quarantineRecorder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, recordInterval)
		if !k.leads() {
			continue
		}
		add, remove := k.core.pendingRecords()
		if !k.write(ctx, k.add, add) || !k.write(ctx, k.remove, remove) {
			wait.Sleep(ctx, recordRetryDelay)
		}
	}
	return nil
}

// write makes one call for each content that none was made for lately, and tells whether all
// were done.
func (k *quarantineRecorder) write(ctx context.Context, w *recordWriter, fingerprints []quarantine.Fingerprint) bool {
	now := k.core.Now()
	w.expire(now)
	for _, c := range fingerprints {
		if _, recent := w.writtenAt[c]; recent {
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
	what      string // as logs name it
	call      func(ctx context.Context, c quarantine.Fingerprint) error
	writtenAt map[quarantine.Fingerprint]time.Duration // when a call was done
}

func newRecordWriter(what string, call func(context.Context, quarantine.Fingerprint) error) *recordWriter {
	return &recordWriter{what: what, call: call, writtenAt: make(map[quarantine.Fingerprint]time.Duration)}
}

// expire drops the calls of which the feed should long have brought what they changed.
func (w *recordWriter) expire(now time.Duration) {
	maps.DeleteFunc(w.writtenAt, func(_ quarantine.Fingerprint, at time.Duration) bool { return now-at > recordRepeatDelay })
}

func (w *recordWriter) write(ctx context.Context, now time.Duration, c quarantine.Fingerprint) error {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := w.call(callCtx, c)
	if err == nil {
		w.writtenAt[c] = now
	}
	return err
}
