package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/croftvale/croftvale/origin"
)

const (
	// streamsInterval is the shortest time between two writes of a router's streams while servers of
	// several versions serve. Streams that began since the last write are lost to their callers if all
	// routers with their records are lost at once.
	streamsInterval = 100 * time.Millisecond
	// quietStreamsInterval is the same while a single version serves and streams of another one may
	// still be resumed, for minutes.
	quietStreamsInterval = 2 * time.Second
	// streamsCheckInterval is the longest time until a router writes what no new stream has changed, such
	// as streams that have ended, or reads the streams of its previous life.
	streamsCheckInterval = 500 * time.Millisecond
	// streamsIntervalPerRouter bounds the writes of a large fleet to 100 a second.
	streamsIntervalPerRouter = 10 * time.Millisecond
	// streamsRetryDelay is the delay after a failed call, and streamsTimeout bounds one.
	streamsRetryDelay = time.Second
	streamsTimeout    = 1500 * time.Millisecond
)

// ErrStreamsChanged is returned for a write that was decided on an outdated revision.
var ErrStreamsChanged = errors.New("the stored streams of this router have changed: they are read again")

// StreamStore keeps the streams of each router whose version cannot be inferred.
type StreamStore interface {
	// ReadStreams returns the streams that a router has stored and the revision of its object, or 0
	// if there is none.
	ReadStreams(ctx context.Context, router string) ([]origin.StoredStreams, uint64, error)
	// WriteStreams replaces the streams of a router, or removes them if there are none, provided that
	// they are still at a revision, and returns ErrStreamsChanged otherwise. It returns the new
	// revision.
	WriteStreams(ctx context.Context, router string, streams []origin.StoredStreams, revision uint64) (uint64, error)
}

// streamKeeper knows the streams of this router.
type streamKeeper interface {
	OwnStreams() []origin.StoredStreams
	// StreamsToStore signals that OwnStreams returns streams which it has not returned before.
	StreamsToStore() <-chan struct{}
	NeedsStoredStreams() bool
	SeveralServe() bool
	Recovered([]origin.StoredStreams)
}

// streamRecorder stores the streams of this router, and recovers those of its previous life before it
// replaces them.
type streamRecorder struct {
	keeper  streamKeeper
	store   StreamStore
	router  string
	routers func() int
	era     func() uint64 // of the source, which may have lost streams in a restore from a backup
	log     *eventlog.Log

	hasRead  bool // the streams of the previous life were read
	revision uint64
	stored   []origin.StoredStreams
	storedIn uint64    // era of the last write
	calledAt time.Time // of the last call
}

// run stores the streams until ctx ends.
func (r *streamRecorder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Until(ctx, r.keeper.StreamsToStore(), streamsCheckInterval)
		r.awaitTurn(ctx)
		if err := r.step(ctx); err != nil {
			r.log.Event("streams_store").Err(err).Msg("")
			wait.Sleep(ctx, streamsRetryDelay)
		}
	}
	return nil
}

// awaitTurn waits until the streams may be written again. The interval shrinks at once when servers of
// another version come.
func (r *streamRecorder) awaitTurn(ctx context.Context) {
	for ctx.Err() == nil {
		left := r.interval() - time.Since(r.calledAt)
		if left <= 0 {
			return
		}
		wait.Sleep(ctx, min(left, streamsInterval))
	}
}

// interval returns the shortest time between two writes.
func (r *streamRecorder) interval() time.Duration {
	interval := streamsInterval
	if r.hasRead && !r.keeper.SeveralServe() {
		interval = quietStreamsInterval
	}
	return max(interval, time.Duration(r.routers())*streamsIntervalPerRouter)
}

// step recovers the streams of the previous life, if they may be needed, and stores those that have
// changed.
func (r *streamRecorder) step(ctx context.Context) error {
	streams := r.keeper.OwnStreams()
	if !r.hasRead {
		if len(streams) == 0 && !r.keeper.NeedsStoredStreams() {
			return nil
		}
		if err := r.readPrevious(ctx); err != nil {
			return err
		}
		streams = r.keeper.OwnStreams()
	}
	era := r.era()
	if era == r.storedIn && slices.EqualFunc(streams, r.stored, sameStreams) {
		return nil
	}
	return r.write(ctx, streams, era)
}

// readPrevious reads the streams of the previous life.
func (r *streamRecorder) readPrevious(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, streamsTimeout)
	defer cancel()
	r.calledAt = time.Now()
	streams, revision, err := r.store.ReadStreams(ctx, r.router)
	if err != nil {
		return err
	}
	r.keeper.Recovered(streams)
	r.hasRead, r.revision, r.storedIn, r.stored = true, revision, r.era(), streams
	r.log.Event("streams_recovered").Int("streams", countStreams(streams)).Msg("")
	return nil
}

// write stores streams. After a conflict the revision is read again before the next write.
func (r *streamRecorder) write(ctx context.Context, streams []origin.StoredStreams, era uint64) error {
	if len(streams) == 0 && r.revision == 0 {
		r.stored, r.storedIn = nil, era
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, streamsTimeout)
	defer cancel()
	r.calledAt = time.Now()
	revision, err := r.store.WriteStreams(ctx, r.router, streams, r.revision)
	if err != nil {
		r.hasRead = false // what the store holds now is not known
		return err
	}
	r.revision, r.stored, r.storedIn = revision, streams, era
	return nil
}

// sameStreams reports whether two groups hold the same streams.
func sameStreams(a, b origin.StoredStreams) bool {
	return a.Service == b.Service && a.Version == b.Version && slices.Equal(a.Keys, b.Keys)
}

func countStreams(groups []origin.StoredStreams) int {
	n := 0
	for _, group := range groups {
		n += len(group.Keys)
	}
	return n
}
