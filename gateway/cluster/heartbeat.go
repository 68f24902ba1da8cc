package cluster

import (
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/quarantine"
)

const (
	minHeartbeatInterval = 100 * time.Millisecond // at the least
	heartbeatsPerSecond  = 100                    // a second, that a router should hear
	heartbeatFanout      = 24                     // peers that one heartbeat goes to
	membersPerHeartbeat  = 16                     // peers named in one heartbeat
	membersEveryRounds   = 8                      // one heartbeat in so many names peers
	// farMembersEveryRounds is the same for those to other regions, where bytes cost most: routers hear
	// of peers from their own region, and once in a quarter of a minute from others, in
	// case they know nobody there.
	farMembersEveryRounds = 8 * membersEveryRounds
)

// heartbeat is what a router tells the others, several times a second.
type heartbeat struct {
	Address string // of the sender's host
	Hall    string
	Region  string  // empty: unknown
	Power   float64 // cores
	Shed    float64 // part of the new requests that it refuses for want of processor time
	Yields  bool    // it is not ready for want of processor time
	// SourceLost says that the sender's last call to the source failed.
	SourceLost bool
	Life       int64 // start of the sender, so that a restart begins anew
	Seq        uint64
	Knows      feed.Revisions
	Headroom   float32             // see direct.Shares
	Members    []string            // other routers that the sender has heard of
	Suspects   []quarantine.Report // as in direct.Report
	// SuspectsDigest is Barred of the sender's quarantine.Digest.
	SuspectsDigest uint64
	// Extension is the second value of the datagram.
	Extension heartbeatExtension `msgpack:"-"`
}

// encodeHeartbeat writes a heartbeat as a datagram.
func encodeHeartbeat(b heartbeat) ([]byte, error) { return encodeExtended(b, b.Extension) }

// decodeHeartbeat reads a datagram as a heartbeat.
func decodeHeartbeat(body []byte) (heartbeat, error) {
	var b heartbeat
	err := decodeExtended(body, &b, &b.Extension)
	return b, err
}

// report is what the heartbeat says of the sender's work.
func (b *heartbeat) report() direct.Report {
	return direct.Report{
		Headroom: float64(b.Headroom), Suspects: b.Suspects,
		SuspectsDigest: quarantine.Digest{Barred: b.SuspectsDigest, NearlyBarred: b.Extension.NearlyBarred},
	}
}
