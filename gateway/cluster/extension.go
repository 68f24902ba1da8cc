package cluster

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/croftvale/croftvale/gateway/detector"
)

// heartbeatExtension is the second value of a heartbeat, which routers of the first builds do not
// read. Its fields are encoded by name, and any may be absent; see docs/design/compatibility.md.
type heartbeatExtension struct {
	// Answers reports that the sender answers probes of the failure detector.
	Answers bool `msgpack:"a,omitempty"`
	// Ask is a probe: the receiver answers at once, to AnswerTo or, if that is empty, to the
	// sender.
	Ask      bool   `msgpack:"q,omitempty"`
	AnswerTo string `msgpack:"t,omitempty"`
	// AskOf requests an indirect probe: the receiver probes this router and has it answer to the
	// sender.
	AskOf string `msgpack:"o,omitempty"`
	// NearlyBarred is the field of the sender's quarantine.Digest.
	NearlyBarred uint64 `msgpack:"w,omitempty"`
	// Origins reports that the sender keeps records of the versions that began streams.
	Origins bool `msgpack:"g,omitempty"`
	// PartSuspects has reports on prompt parts, see packPartReports. If Parts is set, BarredParts and
	// NearlyBarredParts are the sender's digest of them.
	Parts             bool   `msgpack:"p,omitempty"`
	PartSuspects      []byte `msgpack:"s,omitempty"`
	BarredParts       uint64 `msgpack:"b,omitempty"`
	NearlyBarredParts uint64 `msgpack:"m,omitempty"`
	// News holds the sender's updates about other routers, in rows of gossipRowSize bytes.
	News []byte `msgpack:"n,omitempty"`
}

const (
	// gossipRowSize is the size of an encoded update: an IPv4 address, an incarnation, and twice
	// the age in milliseconds, plus one if the router is alive.
	gossipRowSize = 4 + 4 + 4
	// maxGossipRows is the maximum number of updates in a heartbeat, about 1 kB. Only fleets that
	// lose many hosts at once need that many.
	maxGossipRows = 80
)

// incarnationOf returns the incarnation of a router from the time of its start. It has millisecond
// resolution, which distinguishes the starts of one host.
func incarnationOf(startNanos int64) uint32 { return uint32(startNanos / int64(time.Millisecond)) }

// packGossip encodes updates as rows. It skips addresses other than IPv4, which no router has.
func packGossip(updates []detector.PeerUpdate) []byte {
	var rows []byte
	for _, u := range updates {
		address, err := netip.ParseAddr(u.Address)
		if err != nil || !address.Is4() {
			continue
		}
		ip := address.As4()
		age := uint32(min(max(u.Age.Milliseconds(), 0), 1<<30)) << 1
		if u.Alive {
			age |= 1
		}
		rows = append(rows, ip[:]...)
		rows = binary.BigEndian.AppendUint32(rows, u.Incarnation)
		rows = binary.BigEndian.AppendUint32(rows, age)
	}
	return rows
}

// unpackGossip decodes rows of updates.
func unpackGossip(rows []byte) []detector.PeerUpdate {
	var updates []detector.PeerUpdate
	for ; len(rows) >= gossipRowSize; rows = rows[gossipRowSize:] {
		age := binary.BigEndian.Uint32(rows[8:])
		updates = append(updates, detector.PeerUpdate{
			Address:     netip.AddrFrom4([4]byte(rows[:4])).String(),
			Incarnation: binary.BigEndian.Uint32(rows[4:]),
			Alive:       age&1 == 1,
			Age:         time.Duration(age>>1) * time.Millisecond,
		})
	}
	return updates
}
