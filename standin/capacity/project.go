package capacity

import (
	"fmt"
	"time"

	"github.com/croftvale/croftvale/bundle"
)

// Limits of control, for each node, and of the platform.
const (
	LimitCore    = 0.021     // of one core
	LimitMemory  = 256 << 20 // bytes
	LimitTraffic = 4 << 10   // bytes a second, sent and read
	LimitReads   = 2_000     // a second, in all
	LimitWrites  = 100       // a second, in all
	ticksPerSec  = float64(time.Second) / float64(50*time.Millisecond)
	nsPerSec     = float64(time.Second)
	deniedPart   = 0.3 // of claims, as the load tool sees it at most
	toldPer      = 3   // agents told of a request that waits
	waitedPart   = 0.5 // of requests that wait longer than half a tick
	agentTeams   = 8   // teams that one agent serves between two rounds
	linksPerSec  = 100
	keyWindow    = 600 // seconds
	maxWaiting   = bundle.DefaultMaxWaiting
	// callerMemory is what a waiting caller takes besides the machine's record:
	// 1,998 callers with bodies of 2 KB on connections of their own raised the
	// resident memory of an idle router from 18,048 to 69,072 kB.
	callerMemory = 25_500
)

// Row is one figure of the page.
type Row struct {
	Role      string
	What      string
	Value     float64
	Unit      string
	Limit     float64 // 0 where there is none
	Mechanism string
}

// Misses tells whether the figure is above its limit.
func (r Row) Misses() bool { return r.Limit > 0 && r.Value > r.Limit }

// Project works out every figure at a size.
func Project(s Slopes, z Size) []Row {
	var rows []Row
	rows = append(rows, routerRows(s, z)...)
	rows = append(rows, hubRows(s, z)...)
	rows = append(rows, agentRows(s, z)...)
	return append(rows, platformRows(s, z)...)
}

// aliveRate returns signs of life a second that a process sends on its links.
func aliveRate(links float64) float64 { return min(links, linksPerSec) }

func routerRows(s Slopes, z Size) []Row {
	req, links := z.perRouter(), z.routerLinks()
	claims := req * (1 + deniedPart)
	kinds := []kind{
		{"claims read", claims, s.ClaimBytes},
		{"denials sent", req * deniedPart, s.DenyBytes},
		{"counts in grants", req, s.GrantBytes},
		{"demand sent", req * waitedPart * toldPer, s.DemandBytes},
		{"signs of life, both ways", 2 * aliveRate(links), s.AliveBytes},
		{"patches of the bundle", z.changes(), s.PatchBytes},
		{"idempotency keys", req * z.Keyed * keyOwners * 2, s.KeyBytes / 2},
	}
	messages, bytes := sum(kinds)
	ns := req*s.RequestNS + ticksPerSec*s.RouterTickNS + messages*s.FrameNS +
		z.changes()*s.PatchNS + z.Replaced/secondsPerDay*z.Routers/(z.Routers+z.Agents)*z.Agents*s.RendezvousNS
	memory := s.BaseMemory + links*s.LinkMemory + s.BundleMemory + maxWaiting*(s.RequestMemory+callerMemory)
	rows := []Row{
		{"router", "requests", req, "1/s", 0, "the balancer"},
		{"router", "links to agents", links, "", 0, "rendezvous: links_per_server routers for each agent"},
		{"router", "control messages", messages, "1/s", 0, "demand told to a few agents; counts ride on grants"},
		{"router", "control traffic", bytes, "B/s", LimitTraffic, "names by number, signs of life that scale, patches"},
		{"router", "control processor time", ns / nsPerSec, "core", LimitCore, "a tick costs its lines, not lines x agents"},
		{"router", "memory, with max_waiting callers", memory, "B", LimitMemory, "limits.max_waiting"},
	}
	return append(rows, kindRows("router", kinds)...)
}

// kind is one type of message of a node: how many a second, and their size.
type kind struct {
	name  string
	rate  float64
	bytes float64
}

func sum(kinds []kind) (messages, bytes float64) {
	for _, k := range kinds {
		messages += k.rate
		bytes += k.rate * k.bytes
	}
	return messages, bytes
}

// kindRows lists the messages and bytes of each type.
func kindRows(role string, kinds []kind) []Row {
	var rows []Row
	for _, k := range kinds {
		what := fmt.Sprintf("… %s: %.3g/s", k.name, k.rate)
		rows = append(rows, Row{Role: role, What: what, Value: k.rate * k.bytes, Unit: "B/s"})
	}
	return rows
}

func hubRows(s Slopes, z Size) []Row {
	agents := z.hallAgents()
	rounds := 1 / z.ShareEvery
	in := agents * rounds / hubsPerHall * (s.ServiceBytes + agentTeams*s.ServiceRowBytes)
	out := agents * rounds * (s.ServiceBytes + z.Backlogged*s.ServiceRowBytes)
	between := 2 * (z.Halls - 1) * rounds * (s.ServiceBytes + z.Backlogged*s.ServiceRowBytes)
	rowsOut := rounds * agents * z.Backlogged
	ns := rowsOut*(s.HubRowNS+s.FrameRowNS) + rounds*agents*2*s.FrameNS
	lives := agents + agents*z.Replaced/(z.Routers+z.Agents)
	memory := agents*s.LinkMemory + lives*s.LifeMemory
	return []Row{
		{"hub duty", "agents served", agents, "", 0, "two hubs a hall by rendezvous"},
		{"hub duty", "service read", in, "B/s", LimitTraffic, "agents report to their hubs in turn"},
		{"hub duty", "totals sent", out, "B/s", LimitTraffic, "rows of changed teams only"},
		{"hub duty", "between halls", between, "B/s", LimitTraffic, "each hub pairs with one of each other hall"},
		{"hub duty", "processor time", ns / nsPerSec, "core", LimitCore, "a round costs what has changed"},
		{"hub duty", "memory", memory, "B", LimitMemory, "one vector of teams for each life of a day"},
	}
}

func agentRows(s Slopes, z Size) []Row {
	req := z.perAgent()
	links := min(z.Links, z.Routers) + hubsPerHall
	rounds := 1 / z.ShareEvery
	claims := req * (1 + deniedPart)
	kinds := []kind{
		{"claims sent", claims, s.ClaimBytes},
		{"denials read", req * deniedPart, s.DenyBytes},
		{"counts in grants", req, s.GrantBytes},
		{"demand read", req * waitedPart * toldPer, s.DemandBytes},
		{"totals read", hubsPerHall * rounds, s.ServiceBytes + z.Backlogged*s.ServiceRowBytes},
		{"service sent", rounds, s.ServiceBytes + agentTeams*s.ServiceRowBytes},
		{"signs of life, both ways", 2 * links, s.AliveBytes},
		{"patches of the bundle", z.changes(), s.PatchBytes},
	}
	messages, bytes := sum(kinds)
	ns := req*s.DecisionNS + ticksPerSec*s.AgentTickNS + messages*s.FrameNS + z.changes()*s.PatchNS +
		hubsPerHall*rounds*z.Backlogged*(s.TotalsRowNS+s.FrameRowNS)
	memory := s.BaseMemory + links*s.LinkMemory + s.BundleMemory + z.Teams*s.TeamMemory +
		z.Keyed*z.perAgent()*keyOwners*keyWindow*s.KeyMemory
	rows := []Row{
		{"agent", "requests", req, "1/s", 0, "late binding"},
		{"agent", "links to routers", links, "", 0, "links_per_server and the hall's hubs"},
		{"agent", "control messages", messages, "1/s", 0, "claims, totals, signs of life"},
		{"agent", "control traffic", bytes, "B/s", LimitTraffic, "rows of changed teams, patches of the bundle"},
		{"agent", "control processor time", ns / nsPerSec, "core", LimitCore, "one decision a request"},
		{"agent", "control memory", memory, "B", LimitMemory, "accounts by team, the bundle"},
	}
	return append(rows, kindRows("agent", kinds)...)
}

func platformRows(s Slopes, z Size) []Row {
	reads := z.Routers/z.PollHosts + z.changes()*z.Watchers*2 + z.Watchers/30
	writes := z.changes() * 2
	return []Row{
		{"platform", "reads", reads, "1/s", LimitReads, "few routers watch; host lists are polled"},
		{"platform", "writes", writes, "1/s", LimitWrites, "content and pointer of each roll; nothing else is written"},
		{"platform", "largest object", s.BundleBytes, "B", 1 << 20, "packed bundle"},
		{"operators' client", "bytes of one roll", s.BundleBytes, "B", 0, "content and pointer"},
	}
}
