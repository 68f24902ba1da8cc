package origin

import (
	"slices"
	"time"
)

// maxStoredStreams bounds the streams that one router stores in the source. The newest are kept.
const maxStoredStreams = 4096

// StoredVersions are the versions of one service that the source keeps.
type StoredVersions struct {
	Service  string
	Versions []string // in order; empty: the source keeps none
	Revision uint64   // of the source's object; 0: there is none
}

// KeptVersions are the versions of one service that the source should keep: all that may have begun
// streams which can still be resumed.
type KeptVersions struct {
	Service  string
	Versions []string // in order
	// Complete reports that none is missing. Otherwise what the source keeps must stay.
	Complete bool
}

// Keep returns the versions that the source should keep, for each service that has any.
func (m *Machine) Keep() []KeptVersions {
	var out []KeptVersions
	for _, service := range m.versions.services() {
		out = append(out, KeptVersions{Service: service, Versions: m.versions.of(service), Complete: m.versions.isComplete(service)})
	}
	return out
}

// StoredStreams are streams of one router that one version of a service began. The source keeps them
// for the case that all routers with their records are lost.
type StoredStreams struct {
	Service string
	Version string
	Keys    []Key
	// Left is how long the last of them may be resumed, from the time of writing.
	Left time.Duration
}

// OwnStreams returns the streams of this router that may be resumed and whose version cannot be
// inferred, by service and version.
func (m *Machine) OwnStreams(now time.Duration) []StoredStreams {
	var out []StoredStreams
	n := 0
	for _, key := range slices.Backward(m.records.order) {
		e, ok := m.records.get(now, key)
		if !ok || e.version == contradicted || e.version == pendingVersion || e.delivered || e.service == "" || !m.sharing[e.service] && !isUnknown(e.version) {
			continue
		}
		if n == maxStoredStreams {
			break
		}
		n++
		out = addStored(out, key, e, now)
	}
	return out
}

// addStored adds a stream to those of its service and version.
func addStored(streams []StoredStreams, key Key, e entry, now time.Duration) []StoredStreams {
	i := slices.IndexFunc(streams, func(s StoredStreams) bool { return s.Service == e.service && s.Version == e.version })
	if i < 0 {
		i = len(streams)
		streams = append(streams, StoredStreams{Service: e.service, Version: e.version})
	}
	streams[i].Keys = append(streams[i].Keys, key)
	streams[i].Left = max(streams[i].Left, e.expiresAt-now)
	return streams
}

// recoverStreams takes in the streams of this router's previous life, and sends their records to the
// routers that hold them now.
func (m *Machine) recoverStreams(msg RecoveredMsg) {
	for _, s := range msg.Streams {
		left := clampLifetime(s.Left)
		if !isUnknown(s.Version) {
			m.versions.stored.add(s.Service, s.Version, msg.Now+left)
		}
		for _, key := range s.Keys {
			m.records.put(msg.Now, key, entry{version: s.Version, expiresAt: msg.Now + left, service: s.Service})
			if isUnknown(s.Version) {
				m.shareWidely(msg.Now, key)
			} else {
				m.share(msg.Now, key)
			}
		}
	}
	m.updateSharing(msg.Now)
}

// NeedsStoredStreams reports whether streams of this router's previous life may be resumed whose
// version nothing but a record tells.
func (m *Machine) NeedsStoredStreams() bool {
	return slices.ContainsFunc(m.versions.services(), func(service string) bool {
		return m.versions.several(service) || m.history.hasRead && !m.versions.isComplete(service)
	})
}

// SeveralServe reports whether servers of several versions of a service are listed.
func (m *Machine) SeveralServe() bool {
	return slices.ContainsFunc(m.versions.services(), func(service string) bool { return m.versions.listedCount(service) > 1 })
}
