package cluster

import (
	"time"

	"github.com/croftvale/croftvale/loads"
)

// loadList is the datagram of one list of loads.
type loadList struct {
	From   string
	Hall   string // of the sender; only where the list tells of teams
	Region string // that the list covers; only where its kind covers one
	Kind   loads.Kind
	Number uint64
	Base   uint64 // see loads.ListMsg
	Loads  []loads.Load
	// HasTeams says that the list tells of teams.
	HasTeams bool
	Teams    []teamRow
	// Rollouts come with teams, where roll-outs are on.
	Rollouts []rolloutRow
	Copies   []loads.Copy
	// Extension is the second value of the datagram.
	Extension loadListExtension `msgpack:"-"`
}

// loadListExtension is the second value of a list, which routers of earlier builds don't read.
// Its fields have names, and any may be absent; see docs/design/compatibility.md.
type loadListExtension struct {
	// Demands are those of the list's Rollouts, in the same order.
	Demands []demandRow `msgpack:"d,omitempty"`
}

// encodeLoadList writes a list as a datagram.
func encodeLoadList(l *loadList) ([]byte, error) {
	if len(l.Extension.Demands) == 0 {
		return encode(l)
	}
	return encodeExtended(l, l.Extension)
}

// decodeLoadList reads a datagram as a list.
func decodeLoadList(body []byte) (loadList, error) {
	var l loadList
	err := decodeExtended(body, &l, &l.Extension)
	return l, err
}

// packList makes a list small. Its sender and number are still to be filled in.
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

// unpack returns what a list that has just come says.
func (l *loadList) unpack(now time.Duration) loads.ListMsg {
	return loads.ListMsg{
		Now: now, From: l.From, Hall: l.Hall, Region: l.Region, Kind: l.Kind, Number: l.Number, Base: l.Base,
		Loads: l.Loads, HasTeams: l.HasTeams, Teams: unpackTeams(l.Teams), Rollouts: unpackRollouts(l.Rollouts, l.Extension.Demands), Copies: l.Copies,
	}
}
