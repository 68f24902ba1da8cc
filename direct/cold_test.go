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
	// The bounds of the shifted deployment's sheet: what a cold server bears, and what it
	// may get at the most in any second.
	coldPerSecond   = 21.0
	coldBurstFactor = 1.5
	coldBurstSlack  = 5
	coldLasts       = 3 * time.Second
)

// coldFleet is a model fleet: routers that come and go, know of one another in part, and
// all want to send to few servers; it counts what each server gets.
type coldFleet struct {
	t         require.TestingT
	now       time.Duration
	routers   []*coldRouter
	coldUntil map[string]time.Duration   // until when each server is cold
	coldSince map[string]time.Duration   // when it turned cold
	sent      map[string][]time.Duration // to each server
	revision  uint64
}

// coldRouter is one router; its machine's clock begins with its life.
type coldRouter struct {
	machine      *Machine
	startedAt    time.Duration
	lastID       RequestID
	knownRouters int // routers that it knows of, itself included
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

// start begins a new life of a router.
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

// setKnownRouters tells a router of how many routers it knows.
func (f *coldFleet) setKnownRouters(i, known int) {
	r := f.routers[i]
	r.knownRouters = known
	r.machine.Update(MembershipMsg{Now: f.now - r.startedAt, Routers: known, ReportTTL: time.Second, Known: known, Rank: min(i, known-1)})
}

// sendList brings a router the list of servers as it is.
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

// turnCold has a server turn cold; routers hear of it by their next list.
func (f *coldFleet) turnCold(server string) {
	f.coldUntil[server] = f.now + coldLasts
	f.coldSince[server] = f.now
}

// sendRequest has one router get a request, which it may send.
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

// advance lets time pass; every router gets some requests in each step.
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

// maxPerSecond returns the most requests that a server got in a second while it was cold, after
// all had heard of it.
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

// TestColdServersGetTheirRate floods a fleet whose servers turn cold: no server gets much
// more than it bears in any second, and none of what it bears is wasted.
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

// TestColdRateHolds plays random histories: routers are killed and come back, know only a
// part of the others, hear of a server at different times, or hold a list that says warm.
// Over all routers together a cold server never gets more in a second than its bound.
func TestColdRateHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{2, 4, 9, 22, 30}).Draw(t, "routers")
		f := newColdFleet(t, routers, 2)
		f.advance(100*time.Millisecond, 1)
		listRound := make([]int, routers) // rounds until each hears of it
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
					// Its new life knows a part of the others; nobody forgets it for a minute.
					f.start(i, f.now)
					f.setKnownRouters(i, rapid.IntRange(1, routers).Draw(t, "knows"))
					listRound[i] = -1
				case rapid.IntRange(0, 39).Draw(t, "hears") == 0:
					f.setKnownRouters(i, rapid.IntRange(f.routers[i].knownRouters, routers).Draw(t, "knows more"))
				}
			}
			f.advance(50*time.Millisecond, 1)
		}
		allListed := began + 350*time.Millisecond // by then every list has come
		for s := range f.coldUntil {
			require.LessOrEqual(t, float64(f.maxPerSecond(s, allListed)), math.Floor(coldPerSecond*coldBurstFactor)+coldBurstSlack, "server %s", s)
		}
	})
}

// TestYoungRoutersLeaveColdServers has a router that has just started send nothing to a
// cold server, and go to others.
func TestYoungRoutersLeaveColdServers(t *testing.T) {
	f := newColdFleet(t, 1, 2)
	f.turnCold("e0")
	f.start(0, f.now)
	f.advance(time.Second, 1)
	require.Empty(t, f.sent["e0"])
	require.NotEmpty(t, f.sent["e1"])
}

// TestListThatSaysWarm has a newer list say that a cold server is warm: it is taken for
// cold as long as it once said.
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

// TestColdServerKeepsItsParts sends a part's requests elsewhere while its server is cold
// and back to it afterwards.
func TestColdServerKeepsItsParts(t *testing.T) {
	b := newTwoHallBench(t)
	part := PromptPart{ID: 4711, Tokens: 1000}
	sendRequest := func() string {
		r := b.request("red", part, PromptPart{ID: uint64(b.lastID) << 20, Tokens: 100})
		server := b.sent(b.arrive(r))
		b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
		b.end(r.ID, Done, false)
		b.now += 10 * time.Millisecond
		return server
	}
	first := sendRequest()
	b.m.Update(MembershipMsg{Now: b.now, Routers: 20, ReportTTL: time.Second, Known: 20, Rank: 19})
	d := hallDirectory(2)
	for i := range d.Servers {
		if d.Servers[i].ID == first {
			d.Servers[i].ColdFor = coldLasts
		}
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	elsewhere := 0
	for range 20 {
		if sendRequest() != first {
			elsewhere++
		}
	}
	require.GreaterOrEqual(t, elsewhere, 18)
	b.advance(coldLasts)
	for range 5 {
		require.Equal(t, first, sendRequest())
	}
}
