package feed

import (
	"context"
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// quarantineSource has fingerprints at a revision.
type quarantineSource struct {
	Source
	fingerprints []quarantine.Fingerprint
	revision     uint64
}

func (s *quarantineSource) ReadQuarantine(context.Context, quarantine.Kind) ([]quarantine.Fingerprint, uint64, error) {
	return s.fingerprints, s.revision, nil
}

func (s *quarantineSource) WatchQuarantine(context.Context, quarantine.Kind, uint64, time.Duration) ([]Change[quarantine.Fingerprint], uint64, error) {
	return []Change[quarantine.Fingerprint]{{Object: 7}}, s.revision, nil
}

// TestUnchangedQuarantineIsNotOffered reads the source again while the quarantine does not change. The
// revision stays, because every other router would pull a newer one.
func TestUnchangedQuarantineIsNotOffered(t *testing.T) {
	source, offered := &quarantineSource{revision: 5}, 0
	o := newTestSet().Evacuations.o
	o.Source = source
	q := newQuarantine(o, quarantine.Content, func() { offered++ })
	for range 3 {
		_, err := q.Read(t.Context())
		require.NoError(t, err)
		source.revision += 10
	}
	require.Equal(t, 1, offered)
	require.EqualValues(t, 5, q.Revision())
	for range 2 {
		_, err := q.Watch(t.Context(), 5, time.Second)
		require.NoError(t, err)
	}
	require.Equal(t, 2, offered)
	require.Equal(t, []quarantine.Fingerprint{7}, q.Newest().All)
	source.fingerprints = nil
	source.revision += 10
	_, err := q.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, 3, offered)
	require.Empty(t, q.Newest().All)
}
