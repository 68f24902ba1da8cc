package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/gateway/cluster"
	"github.com/croftvale/croftvale/gateway/eventlog"
	"github.com/croftvale/croftvale/internal/wait"
	"github.com/croftvale/croftvale/origin"
)

const (
	// versionsInterval is the time between checks for versions that the source should keep. The
	// record of a new version must be there before the servers of the earlier ones have gone.
	versionsInterval = 100 * time.Millisecond
	// versionsRetryDelay is the delay after a failed call, and versionsTimeout bounds one.
	versionsRetryDelay = time.Second
	versionsTimeout    = 1500 * time.Millisecond
)

// ErrVersionsChanged is returned for a write that was decided on outdated versions.
var ErrVersionsChanged = errors.New("another router has changed the stored versions: they are read again")

// VersionStore keeps the versions whose streams may still be resumed.
type VersionStore interface {
	cluster.StoredVersions
	// WriteVersions replaces the versions of a service if their revision is still the given one,
	// and returns ErrVersionsChanged otherwise. It returns the new revision.
	WriteVersions(ctx context.Context, v origin.StoredVersions) (uint64, error)
}

// versionKeeper knows the versions that the source should keep.
type versionKeeper interface {
	Keep() []origin.KeptVersions
	Stored([]origin.StoredVersions)
}

// versionRecorder writes the versions that the source should keep while its router is the leader.
type versionRecorder struct {
	keeper versionKeeper
	store  VersionStore
	leads  func() bool
	era    func() uint64 // of the source, which may have lost records in a restore from a backup
	log    *eventlog.Log
	stored map[string]origin.StoredVersions // by service; nil: to be read
	readIn uint64                           // era in which the stored versions were read
}

func newVersionRecorder(k versionKeeper, s VersionStore, leads func() bool, era func() uint64, l *eventlog.Log) *versionRecorder {
	return &versionRecorder{keeper: k, store: s, leads: leads, era: era, log: l}
}

// run writes the versions until ctx ends.
func (r *versionRecorder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait.Sleep(ctx, versionsInterval)
		if !r.step(ctx) {
			wait.Sleep(ctx, versionsRetryDelay)
		}
	}
	return nil
}

// step updates the source if this router is the leader. It reports whether all calls succeeded.
func (r *versionRecorder) step(ctx context.Context) bool {
	if !r.leads() {
		r.stored = nil
		return true
	}
	if err := r.update(ctx); err != nil {
		r.log.Event("versions_write").Err(err).Msg("")
		r.stored = nil
		return false
	}
	return true
}

// update makes the source keep what it should.
func (r *versionRecorder) update(ctx context.Context) error {
	if era := r.era(); r.stored == nil || r.readIn != era {
		if err := r.read(ctx); err != nil {
			return err
		}
		r.readIn = era
	}
	used := make(map[string]bool)
	for _, kept := range r.keeper.Keep() {
		used[kept.Service] = true
		if !kept.Complete {
			continue
		}
		if err := r.write(ctx, kept.Service, kept.Versions); err != nil {
			return err
		}
	}
	for service := range r.stored {
		if used[service] {
			continue
		}
		if err := r.write(ctx, service, nil); err != nil {
			return err
		}
	}
	return nil
}

// read reads what the source keeps.
func (r *versionRecorder) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	all, err := r.store.ReadVersions(ctx)
	if err != nil {
		return err
	}
	r.stored = make(map[string]origin.StoredVersions)
	for _, v := range all {
		r.stored[v.Service] = v
	}
	r.keeper.Stored(all)
	return nil
}

// write makes the source keep versions of a service, or none, if they differ from what it keeps.
func (r *versionRecorder) write(ctx context.Context, service string, versions []string) error {
	old := r.stored[service]
	if slices.Equal(old.Versions, versions) && (len(versions) > 0 || old.Revision == 0) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout)
	defer cancel()
	revision, err := r.store.WriteVersions(ctx, origin.StoredVersions{Service: service, Versions: versions, Revision: old.Revision})
	if err != nil {
		return err
	}
	r.log.Event("versions_write").Str("service", service).Strs("versions", versions).Msg("")
	if len(versions) == 0 {
		delete(r.stored, service)
		return nil
	}
	r.stored[service] = origin.StoredVersions{Service: service, Versions: versions, Revision: revision}
	return nil
}
