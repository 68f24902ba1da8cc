package cluster

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/croftvale/croftvale/gateway/detector"
)

// heartbeatExtension is the second value of a heartbeat, which routers of the first builds don't read.
// Its fields have names, and any may be absent; see docs/design/compatibility.md.
type heartbeatExtension struct {
	// Answers says that the sender answers when it is asked whether it is there.
	Answers bool `msgpack:"a,omitempty"`
	// Ask has the receiver answer at once: to AnswerTo, or where that is empty to the sender.
	Ask      bool   `msgpack:"q,omitempty"`
	AnswerTo string `msgpack:"t,omitempty"`
	// AskOf is a router that the receiver is to have answer to the sender.
	AskOf string `msgpack:"o,omitempty"`
	// NearlyBarred is of the sender's quarantine.Digest.
	NearlyBarred uint64 `msgpack:"w,omitempty"`
	// News is what the sender tells of other routers, in rows of newsRow bytes.
	News []byte `msgpack:"n,omitempty"`
}

const (
	// gossipRowSize is the length of one piece of news: an IPv4 address, an incarnation, and an age
	// in milliseconds doubled, to which one is added where the router is alive.
	gossipRowSize = 4 + 4 + 4
	// maxGossipRows is how many pieces of news one heartbeat tells: some 1 kB, which only fleets
	// that lose many hosts at once have.
	maxGossipRows = 80
)

// incarnationOf is the short form of a life by which news names it: starts of one host differ in
// their milliseconds.
func incarnationOf(startNanos int64) uint32 { return uint32(startNanos / int64(time.Millisecond)) }

// packGossip writes news as rows. What has no IPv4 address is left out: no router has another.
func packGossip(updates []detector.PeerUpdate) []byte {
	var rows []byte
	for _, n := range updates {
		address, err := netip.ParseAddr(n.Address)
		if err != nil || !address.Is4() {
			continue
		}
		ip := address.As4()
		age := uint32(min(max(n.Age.Milliseconds(), 0), 1<<30)) << 1
		if n.Alive {
			age |= 1
		}
		rows = append(rows, ip[:]...)
		rows = binary.BigEndian.AppendUint32(rows, n.Incarnation)
		rows = binary.BigEndian.AppendUint32(rows, age)
	}
	return rows
}

// unpackGossip reads the rows of news.
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
