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
	// AddQuarantine records that a fingerprint is barred; RemoveQuarantine deletes its
	// record. Both may be repeated.
	AddQuarantine(ctx context.Context, f quarantine.Fingerprint) error
	RemoveQuarantine(ctx context.Context, f quarantine.Fingerprint) error
}

// quarantineRecorder writes the records of barred fingerprints while its router is the
// leader.
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

// run writes the records until ctx ends.
func (r *quarantineRecorder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, recordInterval)
		if !r.leads() {
			continue
		}
		add, remove := r.core.pendingRecords()
		if !r.write(ctx, r.add, add) || !r.write(ctx, r.remove, remove) {
			wait.Sleep(ctx, recordRetryDelay)
		}
	}
	return nil
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
		r.log.Event("quarantine_write").Str("content", f.String()).Str("what", w.what).Err(err).Msg("")
		if err != nil {
			return false
		}
	}
	return true
}

// recordWriter makes one kind of call for fingerprints and remembers its recent calls.
type recordWriter struct {
	what      string // name of the call in logs
	call      func(ctx context.Context, f quarantine.Fingerprint) error
	writtenAt map[quarantine.Fingerprint]time.Duration // time of the last successful call
}

func newRecordWriter(what string, call func(context.Context, quarantine.Fingerprint) error) *recordWriter {
	return &recordWriter{what: what, call: call, writtenAt: make(map[quarantine.Fingerprint]time.Duration)}
}

// expire drops the calls whose changes the feed should have delivered by now.
func (w *recordWriter) expire(now time.Duration) {
	maps.DeleteFunc(w.writtenAt, func(_ quarantine.Fingerprint, at time.Duration) bool { return now-at > recordRepeatDelay })
}

func (w *recordWriter) write(ctx context.Context, now time.Duration, f quarantine.Fingerprint) error {
	callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := w.call(callCtx, f)
	if err == nil {
		w.writtenAt[f] = now
	}
	return err
}
