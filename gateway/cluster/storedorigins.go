package cluster

import (
	"context"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/origin"
)

// storedVersionsTimeout bounds the call that reads the versions which the source keeps.
const storedVersionsTimeout = 300 * time.Millisecond

// StoredVersions reads the versions that the source keeps.
type StoredVersions interface {
	// ReadVersions returns the versions whose streams may still be resumed, for each service.
	ReadVersions(ctx context.Context) ([]origin.StoredVersions, error)
}

// ServerList reads the list of servers.
type ServerList interface {
	// ReadServers returns all servers, and the revision of the list.
	ReadServers(ctx context.Context) ([]direct.Server, uint64, error)
}

// Keep returns the versions that the source should keep.
func (o *Origins) Keep() []origin.KeptVersions {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.Keep()
}

// Stored delivers the versions that the source keeps.
func (o *Origins) Stored(stored []origin.StoredVersions) {
	o.update(origin.StoredMsg{Now: o.deps.StateMachine.Now(), Services: versionsByService(stored)})
}

// OwnStreams returns the streams of this router that the source should keep.
func (o *Origins) OwnStreams() []origin.StoredStreams {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.OwnStreams(o.deps.StateMachine.Now())
}

// StreamsToStore signals that OwnStreams returns streams which it has not returned before.
func (o *Origins) StreamsToStore() <-chan struct{} { return o.store }

// NeedsStoredStreams reports whether streams that this router's previous life has stored may be resumed.
func (o *Origins) NeedsStoredStreams() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.NeedsStoredStreams()
}

// SeveralServe reports whether servers of several versions of a service are listed.
func (o *Origins) SeveralServe() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.SeveralServe()
}

// Recovered delivers the streams that this router's previous life has stored.
func (o *Origins) Recovered(streams []origin.StoredStreams) {
	o.update(origin.RecoveredMsg{Now: o.deps.StateMachine.Now(), Streams: streams})
}

// versionsByService returns the versions that the source keeps, by service.
func versionsByService(stored []origin.StoredVersions) map[string][]string {
	services := make(map[string][]string, len(stored))
	for _, s := range stored {
		services[s.Service] = s.Versions
	}
	return services
}

// readStored reads the versions that the source keeps, and those of its list of servers if servers is set.
func (o *Origins) readStored(servers bool) {
	ctx, cancel := context.WithTimeout(context.Background(), storedVersionsTimeout)
	defer cancel()
	o.deps.Stats.CountSourceCall("versions")
	stored, err := o.deps.Versions.ReadVersions(ctx)
	msg := origin.StoredMsg{Services: versionsByService(stored), Requested: true}
	if servers && err == nil {
		var listed []direct.Server
		o.deps.Stats.CountSourceCall("listed_versions")
		listed, _, err = o.deps.ServerList.ReadServers(ctx)
		msg.Listed, msg.ServersRead = listedVersions(listed), err == nil
	}
	if err != nil {
		o.deps.Log.Event("versions_unread").Err(err).Msg("")
	}
	msg.Now, msg.Err = o.deps.StateMachine.Now(), err
	o.update(msg)
}
