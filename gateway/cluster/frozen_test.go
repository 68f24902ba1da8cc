package cluster

import (
	"time"

	"github.com/croftvale/croftvale/gateway/detector"
	"github.com/croftvale/croftvale/gateway/feed"
	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/origin"
	"github.com/croftvale/croftvale/quarantine"
	"github.com/croftvale/croftvale/rollout"
)

// The types below are the message types of build 2739690 and must not change: that build decodes
// the messages of this one into them. See docs/design/compatibility.md.

type heartbeat2739690 struct {
	Address        string
	Hall           string
	Region         string
	Power          float64
	Shed           float64
	Yields         bool
	SourceLost     bool
	Life           int64
	Seq            uint64
	Knows          []uint64
	Headroom       float32
	Members        []string
	Suspects       []report2739690
	SuspectsDigest uint64
}

type report2739690 struct {
	Content  uint64
	Grave    bool
	Crashes  []crash2739690
	Cleared  bool
	ClearAge uint32
	Asked    bool
	AskAge   uint32
}

type crash2739690 struct {
	Server uint32
	Age    uint32
}

// heartbeatExtensionOrigins is the extension of build 2026-12-03-origins, the last that reports no
// prompt parts. It must not change either.
type heartbeatExtensionOrigins struct {
	Answers      bool   `msgpack:"a,omitempty"`
	Ask          bool   `msgpack:"q,omitempty"`
	AnswerTo     string `msgpack:"t,omitempty"`
	AskOf        string `msgpack:"o,omitempty"`
	NearlyBarred uint64 `msgpack:"w,omitempty"`
	Origins      bool   `msgpack:"g,omitempty"`
	News         []byte `msgpack:"n,omitempty"`
}

// originAnswerParts is the answer of build 2026-12-03-parts, the last that does not tell of starts without an entry. It
// must not change either.
type originAnswerParts struct {
	Number   uint64   `msgpack:"n"`
	Service  string   `msgpack:"s"`
	Found    bool     `msgpack:"o,omitempty"`
	Version  string   `msgpack:"v,omitempty"`
	Versions []string `msgpack:"l,omitempty"`
	Left     []uint16 `msgpack:"t,omitempty"`
	Complete bool     `msgpack:"c,omitempty"`
}

type loadList2739690 struct {
	From     string
	Hall     string
	Region   string
	Kind     uint8
	Number   uint64
	Base     uint64
	Loads    []load2739690
	HasTeams bool
	Teams    []team2739690
	Rollouts []rollout2739690
	Copies   []copy2739690
}

type load2739690 struct {
	Server           uint32
	Running, Pending int32
}

type team2739690 struct {
	Team                    string
	Offered, Recent, Served uint32
}

type rollout2739690 struct {
	Service        string
	Order          uint64
	Routers        uint32
	Known, InForce uint8
	Age            time.Duration
	OldRunning     uint32
	Rejected       bool
	Routes         []string
	Cohorts        []string
	Cells          []cell2739690
}

type cell2739690 struct {
	Route, Cohort int
	Target, Later bool
	Good, Bad     uint32
}

type copy2739690 struct {
	Part   uint64
	Server uint32
}

// The samples contain one of each message, with all fields set.

func sampleHeartbeat() heartbeat {
	return heartbeat{
		Address: "10.1.0.33", Hall: "hall-1", Region: "north", Power: 0.3, Shed: 0.25, Yields: true, SourceLost: true,
		Life: 1 << 60, Seq: 7, Knows: feed.Revisions{3, 9, 11, 12, 13, 14}, Headroom: 1.5, Members: []string{"10.2.0.1", "10.2.0.2"},
		Suspects: []quarantine.Report{{
			Content: 1 << 60, Grave: true, Crashes: []quarantine.CrashReport{{Server: 1 << 31, Age: 40}},
			Cleared: true, ClearAge: 90, Asked: true, AskAge: 7,
		}},
		SuspectsDigest: 1 << 61,
		Extension: heartbeatExtension{
			Answers: true, Ask: true, AnswerTo: "10.3.0.1", AskOf: "10.4.0.1", NearlyBarred: 1 << 59, Origins: true,
			Parts: true, BarredParts: 1 << 58, NearlyBarredParts: 1 << 57,
			PartSuspects: packPartReports(samplePartReports()),
			News:         packGossip([]detector.PeerUpdate{{Address: "10.5.0.1", Incarnation: 1 << 31, Alive: true, Age: time.Second}}),
		},
	}
}

func samplePartReports() []quarantine.Report {
	return []quarantine.Report{
		{
			Content: 1 << 60, Grave: true, Cleared: true, ClearAge: 90, Asked: true, AskAge: 7,
			Crashes: []quarantine.CrashReport{{Server: 1 << 31, Age: 40, Hall: 1 << 15, Request: 1 << 14}, {Server: 5, Age: 1}},
		},
		{Content: 0x5c1e07a2, Established: true, Crashes: []quarantine.CrashReport{{Server: 5, Age: 1, Hall: 2, Request: 3}}},
		{Content: 7, Cleared: true, ClearAge: 5},
	}
}

func frozenHeartbeat() heartbeat2739690 {
	return heartbeat2739690{
		Address: "10.1.0.33", Hall: "hall-1", Region: "north", Power: 0.3, Shed: 0.25, Yields: true, SourceLost: true,
		Life: 1 << 60, Seq: 7, Knows: []uint64{3, 9, 11, 12, 13, 14}, Headroom: 1.5, Members: []string{"10.2.0.1", "10.2.0.2"},
		Suspects: []report2739690{{
			Content: 1 << 60, Grave: true, Crashes: []crash2739690{{Server: 1 << 31, Age: 40}},
			Cleared: true, ClearAge: 90, Asked: true, AskAge: 7,
		}},
		SuspectsDigest: 1 << 61,
	}
}

func sampleLoadList() loadList {
	return loadList{
		From: "10.1.0.33", Hall: "hall-1", Region: "north", Kind: loads.Digest, Number: 1 << 60, Base: 1 << 50,
		Loads: []loads.Load{{Server: 1 << 31, Running: 3, Pending: 60000}}, HasTeams: true,
		Teams: []teamRow{{Team: "red", Offered: 9, Recent: 8, Served: 7}},
		Rollouts: []rolloutRow{{
			Service: "llm", Order: 5, Routers: 3, Known: rollout.Half, InForce: rollout.Quarter, Age: time.Second, OldRunning: 2,
			Rejected: true, Routes: []string{"r"}, Cohorts: []string{"c"}, Cells: []cellRow{{Target: true, Later: true, Good: 5, Bad: 1}},
		}},
		Copies:    []loads.Copy{{Part: 1 << 60, Server: 7}},
		Extension: loadListExtension{Demands: []demandRow{{Known: true, PerSecond: 12.5, Watched: 2000}}},
	}
}

func frozenLoadList() loadList2739690 {
	return loadList2739690{
		From: "10.1.0.33", Hall: "hall-1", Region: "north", Kind: uint8(loads.Digest), Number: 1 << 60, Base: 1 << 50,
		Loads: []load2739690{{Server: 1 << 31, Running: 3, Pending: 60000}}, HasTeams: true,
		Teams: []team2739690{{Team: "red", Offered: 9, Recent: 8, Served: 7}},
		Rollouts: []rollout2739690{{
			Service: "llm", Order: 5, Routers: 3, Known: uint8(rollout.Half), InForce: uint8(rollout.Quarter), Age: time.Second, OldRunning: 2,
			Rejected: true, Routes: []string{"r"}, Cohorts: []string{"c"}, Cells: []cell2739690{{Target: true, Later: true, Good: 5, Bad: 1}},
		}},
		Copies: []copy2739690{{Part: 1 << 60, Server: 7}},
	}
}

// sampleOrigin contains all parts of a message about the origins of streams, which are sent one by
// one.
func sampleOrigin() originMessage {
	m := packOriginRecords([]origin.Record{
		{Key: 1 << 63, Version: "v1", Lifetime: time.Minute}, {Key: 5, Version: "v1.1", Lifetime: origin.MaxLifetime},
	})
	m.From = "10.1.0.33"
	m.Query = &originQuery{Number: 7, Service: "llm", Key: 1 << 62}
	m.Answer = &originAnswer{Number: 8, Service: "llm", Found: true, Version: "v1", Versions: []string{"v1", "v1.1"}, Left: []uint16{6000, 7}, Complete: true, MetUnlisted: true}
	return m
}
