package feed

import (
	"context"
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// lossySource has fingerprints, which a restore from a backup loses.
type lossySource struct {
	Source
	fingerprints []quarantine.Fingerprint
	changes      []Change[quarantine.Fingerprint]
	revision     uint64
}

func (s *lossySource) ReadQuarantine(context.Context, quarantine.Kind) ([]quarantine.Fingerprint, uint64, error) {
	return s.fingerprints, s.revision, nil
}

func (s *lossySource) WatchQuarantine(context.Context, quarantine.Kind, uint64, time.Duration) ([]Change[quarantine.Fingerprint], uint64, error) {
	changes := s.changes
	s.changes = nil
	return changes, s.revision, nil
}

// newLossyFeed returns the feed of a source that had one fingerprint and lost it in a restore.
func newLossyFeed(t *testing.T) (*Quarantine, *lossySource) {
	source := &lossySource{fingerprints: []quarantine.Fingerprint{7}, revision: NewRevision(0, 50)}
	o := newTestSet().Evacuations.o
	o.Source = source
	q := newQuarantine(o, quarantine.Part, func() {})
	read(t, q)
	source.fingerprints, source.revision = nil, NewRevision(1, 40)
	read(t, q)
	return q, source
}

func read(t *testing.T, q *Quarantine) {
	_, err := q.Read(t.Context())
	require.NoError(t, err)
}

// TestLostRecordIsNoRelease guards against a barred fingerprint that is released since the source lost
// its record in a restore, and is read again before a router has written it again.
func TestLostRecordIsNoRelease(t *testing.T) {
	q, source := newLossyFeed(t)
	for range 3 {
		source.revision++
		read(t, q)
		require.Equal(t, []quarantine.Fingerprint{7}, q.Newest().All)
	}
	source.fingerprints = []quarantine.Fingerprint{7}
	source.revision++
	read(t, q)
	source.fingerprints = nil
	source.revision++
	read(t, q)
	require.Empty(t, q.Newest().All, "an operator has released it after it was written again")
}

// TestWrittenAgainThenDeleted releases a fingerprint whose record was written again and deleted while its
// router watched.
func TestWrittenAgainThenDeleted(t *testing.T) {
	q, source := newLossyFeed(t)
	for _, deleted := range []bool{false, true} {
		source.changes = []Change[quarantine.Fingerprint]{{Object: 7, Deleted: deleted}}
		source.revision++
		_, err := q.Watch(t.Context(), 0, 0)
		require.NoError(t, err)
		require.Equal(t, deleted, len(q.Newest().All) == 0)
	}
}

// TestLostRecordLapses ends the wait for a record that nobody writes again.
func TestLostRecordLapses(t *testing.T) {
	q, source := newLossyFeed(t)
	q.lost.until = time.Now()
	source.revision++
	_, err := q.Watch(t.Context(), 0, 0)
	require.NoError(t, err)
	require.Empty(t, q.Newest().All)
}

// pull applies the listing of one feed at another, as a pull does.
func pull(t *testing.T, from, to *Quarantine) {
	body, err := msgpack.Marshal(from.ContentSince(0))
	require.NoError(t, err)
	require.NoError(t, to.ApplyPulled(body, "from"))
}

// TestListingWithoutLostRecordIsNoRelease guards against a barred fingerprint that is released by the
// listing of a router that has just started: it read the restored source and does not know what that
// lost. A router that never reads the source must keep it too.
func TestListingWithoutLostRecordIsNoRelease(t *testing.T) {
	follower, source := newLossyFeed(t)
	o := newTestSet().Evacuations.o
	o.Source = source
	other := newQuarantine(o, quarantine.Part, func() {})
	pull(t, follower, other)
	started := newQuarantine(o, quarantine.Part, func() {})
	source.fingerprints = []quarantine.Fingerprint{9}
	source.revision++
	read(t, started)
	for _, q := range []*Quarantine{follower, other} {
		pull(t, started, q)
		require.Equal(t, []quarantine.Fingerprint{7, 9}, q.Newest().All)
	}
	old, _ := newLossyFeed(t)
	old.Content.Newest().Revision = NewRevision(0, 60)
	pull(t, old, other)
	pull(t, other, started)
	source.fingerprints = []quarantine.Fingerprint{7, 9}
	source.revision++
	read(t, started)
	pull(t, started, other)
	source.fingerprints = []quarantine.Fingerprint{9}
	source.revision++
	read(t, started)
	pull(t, started, other)
	require.Equal(t, []quarantine.Fingerprint{9}, other.Newest().All, "an operator has released it after it was written again")
}
