package feed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/croftvale/croftvale/rollout"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// emptySource is a source without any objects. A watch from a revision that it does not have fails.
type emptySource struct{ era, counter uint64 }

func (s *emptySource) revision() uint64 { return NewRevision(s.era, s.counter) }

func (s *emptySource) restore() {
	s.era++
	s.counter -= min(s.counter, 7)
}

func (s *emptySource) watched(since uint64) (uint64, error) {
	if since != s.revision() {
		return 0, ErrHistoryGone
	}
	return since, nil
}

func (s *emptySource) ReadConfig(context.Context) (*direct.Config, uint64, error) {
	return nil, s.revision(), nil
}

func (s *emptySource) WatchConfig(_ context.Context, since uint64, _ time.Duration) (*direct.Config, uint64, error) {
	at, err := s.watched(since)
	return nil, at, err
}

func (s *emptySource) ReadServers(context.Context) ([]direct.Server, uint64, error) {
	return nil, s.revision(), nil
}

func (s *emptySource) WatchServers(_ context.Context, since uint64, _ time.Duration) ([]Change[direct.Server], uint64, error) {
	at, err := s.watched(since)
	return nil, at, err
}

func (s *emptySource) ReadEvacuations(context.Context) ([]string, uint64, error) {
	return nil, s.revision(), nil
}

func (s *emptySource) WatchEvacuations(_ context.Context, since uint64, _ time.Duration) ([]Change[string], uint64, error) {
	at, err := s.watched(since)
	return nil, at, err
}

func (s *emptySource) ReadQuarantine(context.Context, quarantine.Kind) ([]quarantine.Fingerprint, uint64, error) {
	return nil, s.revision(), nil
}

func (s *emptySource) WatchQuarantine(_ context.Context, _ quarantine.Kind, since uint64, _ time.Duration) ([]Change[quarantine.Fingerprint], uint64, error) {
	at, err := s.watched(since)
	return nil, at, err
}

func (s *emptySource) ReadOrders(context.Context) ([]rollout.Order, uint64, error) {
	return nil, s.revision(), nil
}

func (s *emptySource) WatchOrders(_ context.Context, since uint64, _ time.Duration) ([]Change[rollout.Order], uint64, error) {
	at, err := s.watched(since)
	return nil, at, err
}

func (s *emptySource) ReadRecords(context.Context) ([]rollout.Record, uint64, error) {
	return nil, s.revision(), nil
}

func (s *emptySource) WatchRecords(_ context.Context, since uint64, _ time.Duration) ([]Change[rollout.Record], uint64, error) {
	at, err := s.watched(since)
	return nil, at, err
}

// TestEmptyFeedsOutliveRestores guards against the end of every router that follows a source which is
// restored from a backup while a feed has no content yet. It reads and watches all feeds in random
// order, with restores at any moment.
func TestEmptyFeedsOutliveRestores(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source := &emptySource{counter: 100}
		set, _ := newRolloutSet(source)
		watchedFrom := make([]uint64, len(set.feeds))
		for step := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			i := rapid.IntRange(0, len(set.feeds)-1).Draw(rt, fmt.Sprint("feed", step))
			switch rapid.IntRange(0, 3).Draw(rt, fmt.Sprint("call", step)) {
			case 0:
				source.restore()
			case 1:
				source.counter++
			case 2:
				at, err := set.feeds[i].Read(t.Context())
				require.NoError(rt, err)
				watchedFrom[i] = at
			case 3:
				at, err := set.feeds[i].Watch(t.Context(), watchedFrom[i], 0)
				if err != nil {
					require.ErrorIs(rt, err, ErrHistoryGone)
					continue
				}
				watchedFrom[i] = at
			}
		}
		source.restore()
		for _, f := range set.feeds {
			at, err := f.Read(t.Context())
			require.NoError(rt, err)
			require.Equal(rt, source.revision(), at)
		}
	})
}
