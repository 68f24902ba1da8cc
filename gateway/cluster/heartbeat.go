package cluster

import (
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/quarantine"
)

const (
	minHeartbeatInterval = 100 * time.Millisecond // in small fleets
	heartbeatsPerSecond  = 100                    // received by each router, in large fleets
	heartbeatFanout      = 24                     // peers that receive a heartbeat
	membersPerHeartbeat  = 16                     // peers named in a heartbeat
	membersEveryRounds   = 8                      // one round in so many names peers
	// farMembersEveryRounds replaces membersEveryRounds for heartbeats to other regions, where
	// bytes cost most. Routers learn of peers mainly from their own region, and about every 15
	// seconds from other regions, in case they know no router of their own region.
	farMembersEveryRounds = 8 * membersEveryRounds
)

// heartbeat is the message that routers send one another several times a second.
type heartbeat struct {
	Address string // of the sender's host
	Hall    string
	Region  string  // empty: unknown
	Power   float64 // cores
	Shed    float64 // fraction of the new requests that the sender refuses because it is short of CPU time
	Yields  bool    // the sender is not ready because it is short of CPU time
	// SourceLost reports that the sender's last call to the source failed.
	SourceLost bool
	Life       int64 // start of the sender in nanoseconds since 1970; a later start supersedes earlier heartbeats
	Seq        uint64
	Knows      feed.Revisions
	Headroom   float32             // see direct.Shares
	Members    []string            // other routers from which the sender has received heartbeats
	Suspects   []quarantine.Report // see direct.Report
	// SuspectsDigest is the field Barred of the sender's quarantine.Digest.
	SuspectsDigest uint64
	// Extension is the second value of the datagram.
	Extension heartbeatExtension `msgpack:"-"`
}

// encodeHeartbeat encodes a heartbeat as a datagram.
func encodeHeartbeat(b heartbeat) ([]byte, error) { return encodeExtended(b, b.Extension) }

// decodeHeartbeat decodes a datagram as a heartbeat.
func decodeHeartbeat(body []byte) (heartbeat, error) {
	var b heartbeat
	err := decodeExtended(body, &b, &b.Extension)
	return b, err
}

// report returns the sender's report.
func (b *heartbeat) report() direct.Report {
	return direct.Report{
		Headroom: float64(b.Headroom), Suspects: b.Suspects,
		SuspectsDigest: quarantine.Digest{Barred: b.SuspectsDigest, NearlyBarred: b.Extension.NearlyBarred},
		HasParts:       b.Extension.Parts,
		PartSuspects:   unpackPartReports(b.Extension.PartSuspects),
		PartsDigest:    quarantine.Digest{Barred: b.Extension.BarredParts, NearlyBarred: b.Extension.NearlyBarredParts},
	}
}
