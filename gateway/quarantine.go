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
	// recordInterval is the time between checks for records that the store should add or
	// remove. It is short, so that few more crashes follow if the routers lose power
	// before a crash is recorded.
	recordInterval = 250 * time.Millisecond
	// recordRetryDelay is the delay after a failed call.
	recordRetryDelay = time.Second
	// recordRepeatDelay is the time after which a call is repeated if the feed has not
	// delivered its change. The feed may take as long as one of its own calls to do so.
	recordRepeatDelay = 35 * time.Second
	// recordTimeout bounds one call.
	recordTimeout = 1500 * time.Millisecond
)

// QuarantineStore stores the records of barred request fingerprints.
type QuarantineStore interface {
	// AddQuarantine records that a fingerprint of a kind is barred; RemoveQuarantine deletes
	// its record. Both may be repeated.
	AddQuarantine(ctx context.Context, kind quarantine.Kind, f quarantine.Fingerprint) error
	RemoveQuarantine(ctx context.Context, kind quarantine.Kind, f quarantine.Fingerprint) error
}

// quarantineRecorder writes the records of barred fingerprints while its router is the
// leader.
type quarantineRecorder struct {
	core  *core
	leads func() bool
	era   func() uint64 // of the store, which may have lost records in a restore from a backup
	log   *eventlog.Log
	kinds []recordedKind
	// renewedIn is the era in which this router, as the leader, has made sure of all records.
	renewedIn uint64
}

// recordedKind writes the records of the fingerprints of one kind.
type recordedKind struct {
	kind        quarantine.Kind
	add, remove *recordWriter
}

func newQuarantineRecorder(c *core, s QuarantineStore, leads func() bool, era func() uint64, l *eventlog.Log) *quarantineRecorder {
	r := &quarantineRecorder{core: c, leads: leads, era: era, log: l}
	for _, kind := range []quarantine.Kind{quarantine.Content, quarantine.Part} {
		r.kinds = append(r.kinds, recordedKind{
			kind: kind, add: newRecordWriter("add", kind, s.AddQuarantine), remove: newRecordWriter("remove", kind, s.RemoveQuarantine),
		})
	}
	return r
}

// run writes the records until ctx ends.
func (r *quarantineRecorder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, recordInterval)
		if !r.leads() {
			continue
		}
		if !r.renewAll(ctx) || !r.writeAll(ctx) {
			wait.Sleep(ctx, recordRetryDelay)
		}
	}
	return nil
}

// renewAll writes the records again that routers know, once in each later era of the store: a backup may
// lack them. It reports whether all calls succeeded.
func (r *quarantineRecorder) renewAll(ctx context.Context) bool {
	era := r.era()
	if era == r.renewedIn {
		return true
	}
	for _, k := range r.kinds {
		clear(k.add.writtenAt)
		clear(k.remove.writtenAt)
		if !r.write(ctx, k.add, r.core.quarantineRecords(k.kind)) {
			return false
		}
	}
	r.renewedIn = era
	return true
}

// writeAll writes all records that are due, and reports whether all calls succeeded.
func (r *quarantineRecorder) writeAll(ctx context.Context) bool {
	for _, k := range r.kinds {
		add, remove := r.core.pendingRecords(k.kind)
		if !r.write(ctx, k.add, add) || !r.write(ctx, k.remove, remove) {
			return false
		}
	}
	return true
}

// write makes one call for each fingerprint without a recent call, and reports whether all
// calls succeeded.
func (r *quarantineRecorder) write(ctx context.Context, w *recordWriter, fingerprints []quarantine.Fingerprint) bool {
	now := r.core.Now()
	w.expire(now)
	for _, f := range fingerprints {
		if _, recent := w.writtenAt[f]; recent {
			continue
		}
		err := w.write(ctx, now, f)
		r.log.Event("quarantine_write").Str(w.kind.String(), f.Text(w.kind)).Str("what", w.what).Err(err).Msg("")
		if err != nil {
			return false
		}
	}
	return true
}

// recordWriter makes one kind of call for fingerprints and remembers its recent calls.
type recordWriter struct {
	what      string // name of the call in logs
	kind      quarantine.Kind
	call      func(ctx context.Context, kind quarantine.Kind, f quarantine.Fingerprint) error
	writtenAt map[quarantine.Fingerprint]time.Duration // time of the last successful call
}

func newRecordWriter(what string, kind quarantine.Kind, call func(context.Context, quarantine.Kind, quarantine.Fingerprint) error) *recordWriter {
	return &recordWriter{what: what, kind: kind, call: call, writtenAt: make(map[quarantine.Fingerprint]time.Duration)}
}

// expire drops the calls whose changes the feed should have delivered by now.
func (w *recordWriter) expire(now time.Duration) {
	maps.DeleteFunc(w.writtenAt, func(_ quarantine.Fingerprint, at time.Duration) bool { return now-at > recordRepeatDelay })
}

func (w *recordWriter) write(ctx context.Context, now time.Duration, f quarantine.Fingerprint) error {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := w.call(callCtx, w.kind, f)
	if err == nil {
		w.writtenAt[f] = now
	}
	return err
}
