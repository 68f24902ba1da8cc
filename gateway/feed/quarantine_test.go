package feed

import (
	"context"
	"testing"
	"time"

	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// quarantineSource has some contents at a revision.
type quarantineSource struct {
	Source
	contents []quarantine.Fingerprint
	revision uint64
}

func (s *quarantineSource) ReadQuarantine(context.Context) ([]quarantine.Fingerprint, uint64, error) {
	return s.contents, s.revision, nil
}

func (s *quarantineSource) WatchQuarantine(context.Context, uint64, time.Duration) ([]Change[quarantine.Fingerprint], uint64, error) {
	return []Change[quarantine.Fingerprint]{{Object: 7}}, s.revision, nil
}

// TestSameQuarantineIsNotTold reads the source again while nothing changes in the quarantine: no
// other router is told of something newer, which each would pull.
func TestSameQuarantineIsNotTold(t *testing.T) {
	source, told := &quarantineSource{revision: 5}, 0
	o := newTestSet().Evacuations.o
	o.Source = source
	q := newQuarantine(o, func() { told++ })
	for range 3 {
		_, err := q.Read(t.Context())
		require.NoError(t, err)
		source.revision += 10
	}
	require.Equal(t, 1, told)
	require.EqualValues(t, 5, q.Revision())
	for range 2 {
		_, err := q.Watch(t.Context(), 5, time.Second)
		require.NoError(t, err)
	}
	require.Equal(t, 2, told)
	require.Equal(t, []quarantine.Fingerprint{7}, q.Newest().All)
	source.contents = nil
	source.revision += 10
	_, err := q.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, 3, told)
	require.Empty(t, q.Newest().All)
}
