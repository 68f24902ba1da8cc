package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/stretchr/testify/require"
)

// recordStore stores records of barred fingerprints, or fails.
type recordStore struct {
	mu      sync.Mutex
	down    bool
	calls   int
	records map[quarantine.Fingerprint]bool
}

func (s *recordStore) write(f quarantine.Fingerprint, present bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errors.New("the store is down")
	}
	s.records[f] = present
	return nil
}

func (s *recordStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *recordStore) AddQuarantine(_ context.Context, _ quarantine.Kind, f quarantine.Fingerprint) error {
	return s.write(f, true)
}

func (s *recordStore) RemoveQuarantine(_ context.Context, _ quarantine.Kind, f quarantine.Fingerprint) error {
	return s.write(f, false)
}

// has reports whether a record exists.
func (s *recordStore) has(f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[f]
}

// TestQuarantineRecorder checks that only the leader writes records. It writes a record once
// the store is back, with one call for each change while the store responds, writes it again after the
// store was restored from a backup, and removes it once the fingerprint is no longer barred.
func TestQuarantineRecorder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		log := eventlog.New(io.Discard, "test")
		defer log.Close()
		core := newCore(direct.Options{}, log)
		store := &recordStore{records: make(map[quarantine.Fingerprint]bool), down: true}
		leads := false
		var mu sync.Mutex
		era := uint64(0)
		recorder := newQuarantineRecorder(core, store, func() bool { mu.Lock(); defer mu.Unlock(); return leads }, func() uint64 { mu.Lock(); defer mu.Unlock(); return era }, log)
		ended := make(chan error)
		go func() { ended <- recorder.run(ctx) }()
		crashes := quarantine.Report{Content: 7}
		for i := range quarantine.Server(quarantine.CrashThreshold) {
			crashes.Crashes = append(crashes.Crashes, quarantine.CrashReport{Server: i})
		}
		core.Update(direct.PeerReportMsg{Now: core.Now(), Peer: "b", Report: direct.Report{Suspects: []quarantine.Report{crashes}}})
		time.Sleep(5 * time.Second)
		require.Zero(t, store.callCount(), "another router leads")
		mu.Lock()
		leads = true
		mu.Unlock()
		time.Sleep(10 * time.Second)
		require.False(t, store.has(7))
		require.LessOrEqual(t, store.callCount(), 10, "calls while the store is down")
		store.mu.Lock()
		store.down, store.calls = false, 0
		store.mu.Unlock()
		time.Sleep(2 * time.Second)
		require.True(t, store.has(7))
		core.Update(direct.QuarantineMsg{Now: core.Now(), Fingerprints: []quarantine.Fingerprint{7}})
		time.Sleep(time.Minute)
		require.LessOrEqual(t, store.callCount(), 2)
		store.mu.Lock()
		store.calls, store.records = 0, make(map[quarantine.Fingerprint]bool)
		store.mu.Unlock()
		mu.Lock()
		era++
		mu.Unlock()
		time.Sleep(time.Minute)
		require.True(t, store.has(7), "the store lost it in a restore from a backup")
		require.Equal(t, 1, store.callCount())
		core.Update(direct.PeerReportMsg{Now: core.Now(), Peer: "b", Report: direct.Report{Suspects: []quarantine.Report{{Content: 7, Cleared: true}}}})
		time.Sleep(2 * time.Second)
		require.False(t, store.has(7), "it is no longer barred")
		stop()
		require.NoError(t, <-ended)
	})
}
