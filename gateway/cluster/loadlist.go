package cluster

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

// loadList is the encoding of a list of loads.
type loadList struct {
	From   string
	Hall   string // of the sender; set only if the list carries team usage
	Region string // covered by the list; set only for kinds that cover a region
	Kind   loads.Kind
	Number uint64
	Base   uint64 // see loads.ListMsg
	Loads  []loads.Load
	// HasTeams reports whether the list carries team usage.
	HasTeams bool
	Teams    []teamRow
	// Rollouts are sent with team usage, if rollouts are enabled.
	Rollouts []rolloutRow
	Copies   []loads.Copy
	// Extension is the second value of the datagram.
	Extension loadListExtension `msgpack:"-"`
}

// loadListExtension is the second value of a list, which routers of earlier builds do not read. Its
// fields are encoded by name, and any may be absent; see docs/design/compatibility.md.
type loadListExtension struct {
	// Demands holds the demands of the list's Rollouts, in the same order.
	Demands []demandRow `msgpack:"d,omitempty"`
}

// encodeLoadList encodes a list as a datagram.
func encodeLoadList(l *loadList) ([]byte, error) {
	if len(l.Extension.Demands) == 0 {
		return encode(l)
	}
	return encodeExtended(l, l.Extension)
}

// decodeLoadList decodes a datagram as a list.
func decodeLoadList(body []byte) (loadList, error) {
	var l loadList
	err := decodeExtended(body, &l, &l.Extension)
	return l, err
}

// packList returns the encoding of a list, without its sender and number.
func packList(cmd loads.SendCmd) loadList {
	list := loadList{
		Region: cmd.Region, Kind: cmd.Kind, Base: cmd.Base, Loads: cmd.Loads, HasTeams: cmd.HasTeams, Copies: cmd.Copies,
	}
	if cmd.HasTeams {
		list.Teams, list.Rollouts = packTeams(cmd.Teams), packRollouts(cmd.Rollouts)
		list.Extension.Demands = packDemands(cmd.Rollouts)
	}
	return list
}

// unpack returns the message for a list received at a time.
func (l *loadList) unpack(now time.Duration) loads.ListMsg {
	return loads.ListMsg{
		Now: now, From: l.From, Hall: l.Hall, Region: l.Region, Kind: l.Kind, Number: l.Number, Base: l.Base,
		Loads: l.Loads, HasTeams: l.HasTeams, Teams: unpackTeams(l.Teams), Rollouts: unpackRollouts(l.Rollouts, l.Extension.Demands), Copies: l.Copies,
	}
}
