package direct

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	// The rate that a cold server takes, in requests per second, and the factor and the number
	// of requests by which any second may exceed it. A deployment sets these limits.
	coldPerSecond   = 21.0
	coldBurstFactor = 1.5
	coldBurstSlack  = 5
	coldLasts       = 3 * time.Second
)

// coldFleet simulates routers that start, stop and know only part of the other routers, and
// that all send to a few servers. It records the requests that each server gets.
type coldFleet struct {
	t         require.TestingT
	now       time.Duration
	routers   []*coldRouter
	coldUntil map[string]time.Duration   // end of each server's cold period
	coldSince map[string]time.Duration   // start of the cold period
	sent      map[string][]time.Duration // send times by server
	revision  uint64
}

// coldRouter is a simulated router. The clock of its machine starts at startedAt.
type coldRouter struct {
	machine      *Machine
	startedAt    time.Duration
	lastID       RequestID
	knownRouters int // routers that it knows, itself included
}

func newColdFleet(t require.TestingT, routers, servers int) *coldFleet {
	f := &coldFleet{
		t: t, now: time.Minute, coldUntil: make(map[string]time.Duration), coldSince: make(map[string]time.Duration),
		sent: make(map[string][]time.Duration),
	}
	for i := range servers {
		f.coldUntil[fmt.Sprint("e", i)] = 0
	}
	for i := range routers {
		f.routers = append(f.routers, &coldRouter{})
		f.start(i, 0)
		f.setKnownRouters(i, routers)
	}
	return f
}

// start starts or restarts a router.
func (f *coldFleet) start(i int, since time.Duration) {
	r := f.routers[i]
	r.startedAt = since
	r.machine = NewMachine(Options{Zone: "a"})
	r.machine.Update(ConfigMsg{Now: f.now - r.startedAt, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 640, KVTokens: 900000}, Cold: ColdLimit{PerSecond: coldPerSecond, Lasts: coldLasts}}},
		Limits:   Limits{TokensPerSecond: 1e9},
	}})
	f.sendList(i)
}

// setKnownRouters sets how many routers a router knows.
func (f *coldFleet) setKnownRouters(i, known int) {
	r := f.routers[i]
	r.knownRouters = known
	r.machine.Update(MembershipMsg{Now: f.now - r.startedAt, Routers: known, ReportTTL: time.Second, Known: known, Rank: min(i, known-1)})
}

// sendList sends the current list of servers to a router.
func (f *coldFleet) sendList(i int) {
	f.revision++
	d := Directory{Revision: f.revision}
	for n := range len(f.coldUntil) {
		id := fmt.Sprint("e", n)
		d.Servers = append(d.Servers, Server{ID: id, Service: "llm", Zone: "a", Slots: 640, ColdFor: max(f.coldUntil[id]-f.now, 0)})
	}
	r := f.routers[i]
	r.machine.Update(ServersMsg{Now: f.now - r.startedAt, Directory: d})
}

// turnCold makes a server cold. Routers learn of it from their next list.
func (f *coldFleet) turnCold(server string) {
	f.coldUntil[server] = f.now + coldLasts
	f.coldSince[server] = f.now
}

// sendRequest delivers a request to one router, which may send it to a server.
func (f *coldFleet) sendRequest(i int) {
	r := f.routers[i]
	r.lastID++
	now := f.now - r.startedAt
	cmds := r.machine.Update(RequestMsg{Now: now, Request: Request{
		ID: r.lastID, Team: "red", Service: "llm", Objective: 400 * time.Millisecond, Deadline: now + time.Second,
		Attempts: 1, PromptTokens: 10, OutputTokens: 1, Parts: []PromptPart{{ID: uint64(r.lastID)*7919 + uint64(i), Tokens: 5}, {ID: 1, Tokens: 5}},
	}})
	if c, ok := findCmd[SendCmd](cmds); ok {
		f.sent[c.Server.ID] = append(f.sent[c.Server.ID], f.now)
		r.machine.Update(FirstEventMsg{Now: now, ID: r.lastID})
		r.machine.Update(AttemptEndMsg{Now: now, ID: r.lastID, Outcome: Done})
		return
	}
	r.machine.Update(CancelMsg{Now: now, ID: r.lastID})
}

// advance advances the time. Each router gets perTick requests per tick.
func (f *coldFleet) advance(d time.Duration, perTick int) {
	for end := f.now + d; f.now < end; {
		f.now += TickInterval
		for i, r := range f.routers {
			r.machine.Update(TickMsg{Now: f.now - r.startedAt})
			for range perTick {
				f.sendRequest(i)
			}
		}
	}
}

// maxPerSecond returns the maximum number of requests that a cold server got in any second
// after the given time.
func (f *coldFleet) maxPerSecond(server string, from time.Duration) int {
	maxPerSecond, sent := 0, f.sent[server]
	for i, at := range sent {
		if at <= from || at >= f.coldUntil[server] {
			continue
		}
		n := 0
		for _, other := range sent[i:] {
			if other < at+time.Second && other < f.coldUntil[server] {
				n++
			}
		}
		maxPerSecond = max(maxPerSecond, n)
	}
	return maxPerSecond
}

// TestColdServersGetTheirRate floods a fleet whose servers turn cold. No server may get much
// more than its rate in any second, and most of the rate must be used.
func TestColdServersGetTheirRate(t *testing.T) {
	for _, routers := range []int{1, 4, 22, 100, 300} {
		f := newColdFleet(t, routers, 3)
		f.advance(250*time.Millisecond, 1)
		for s := range f.coldUntil {
			f.turnCold(s)
		}
		for i := range f.routers {
			f.sendList(i)
		}
		began := f.now
		f.advance(coldLasts, 2)
		for s := range f.coldUntil {
			maxPerSecond := f.maxPerSecond(s, began)
			require.LessOrEqual(t, float64(maxPerSecond), coldPerSecond*1.2, "%d routers", routers)
			require.GreaterOrEqual(t, float64(maxPerSecond), coldPerSecond*0.6, "%d routers", routers)
		}
	}
}

// TestColdRateHolds runs random histories in which routers are killed and restarted, know only
// some of the others, receive the server's cold state at different times, or hold an older
// list. All routers together must never exceed the bound of a cold server in any second.
func TestColdRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{2, 4, 9, 22, 30}).Draw(t, "routers")
		f := newColdFleet(t, routers, 2)
		f.advance(100*time.Millisecond, 1)
		listRound := make([]int, routers) // round in which each router receives the list
		for i := range f.routers {
			listRound[i] = rapid.IntRange(0, 6).Draw(t, "heard")
		}
		for s := range f.coldUntil {
			f.turnCold(s)
		}
		began := f.now
		for round := range int(coldLasts / (50 * time.Millisecond)) {
			for i := range f.routers {
				switch {
				case listRound[i] == round:
					f.sendList(i)
				case rapid.IntRange(0, 99).Draw(t, "trouble") == 0:
					// The restarted router knows only some of the others; they all remember it
					// for a minute.
					f.start(i, f.now)
					f.setKnownRouters(i, rapid.IntRange(1, routers).Draw(t, "knows"))
					listRound[i] = -1
				case rapid.IntRange(0, 39).Draw(t, "hears") == 0:
					f.setKnownRouters(i, rapid.IntRange(f.routers[i].knownRouters, routers).Draw(t, "knows more"))
				}
			}
			f.advance(50*time.Millisecond, 1)
		}
		allListed := began + 350*time.Millisecond // all lists have arrived by then
		for s := range f.coldUntil {
			require.LessOrEqual(t, float64(f.maxPerSecond(s, allListed)), math.Floor(coldPerSecond*coldBurstFactor)+coldBurstSlack, "server %s", s)
		}
	})
}

// TestYoungRoutersLeaveColdServers checks that a router that has just started sends nothing to
// a cold server and uses others.
func TestYoungRoutersLeaveColdServers(t *testing.T) {
	f := newColdFleet(t, 1, 2)
	f.turnCold("e0")
	f.start(0, f.now)
	f.advance(time.Second, 1)
	require.Empty(t, f.sent["e0"])
	require.NotEmpty(t, f.sent["e1"])
}

// TestListThatSaysWarm checks that a newer list without the cold state does not shorten a
// server's cold period.
func TestListThatSaysWarm(t *testing.T) {
	f := newColdFleet(t, 22, 1)
	f.turnCold("e0")
	for i := range f.routers {
		f.sendList(i)
	}
	until := f.coldUntil["e0"]
	f.coldUntil["e0"] = f.now
	for i := range f.routers {
		f.sendList(i)
	}
	began := f.now
	f.advance(time.Second, 2)
	f.coldUntil["e0"] = until
	require.LessOrEqual(t, float64(f.maxPerSecond("e0", began)), coldPerSecond*1.2)
}

// TestColdServerKeepsItsParts checks that requests with a part go elsewhere while its server is
// cold, and return to it afterwards.
func TestColdServerKeepsItsParts(t *testing.T) {
	h := newTwoHallHarness(t)
	part := PromptPart{ID: 4711, Tokens: 1000}
	sendRequest := func() string {
		r := h.request("red", part, PromptPart{ID: uint64(h.lastID) << 20, Tokens: 100})
		server := h.sent(h.arrive(r))
		h.m.Update(FirstEventMsg{Now: h.now, ID: r.ID})
		h.end(r.ID, Done, false)
		h.now += 10 * time.Millisecond
		return server
	}
	first := sendRequest()
	h.m.Update(MembershipMsg{Now: h.now, Routers: 20, ReportTTL: time.Second, Known: 20, Rank: 19})
	d := hallDirectory(2)
	for i := range d.Servers {
		if d.Servers[i].ID == first {
			d.Servers[i].ColdFor = coldLasts
		}
	}
	h.m.Update(ServersMsg{Now: h.now, Directory: d})
	elsewhere := 0
	for range 20 {
		if sendRequest() != first {
			elsewhere++
		}
	}
	require.GreaterOrEqual(t, elsewhere, 18)
	h.advance(coldLasts)
	for range 5 {
		require.Equal(t, first, sendRequest())
	}
}
