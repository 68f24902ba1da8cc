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
	coldRate    = 21.0
	coldOverrun = 1.5
	coldSlack   = 5
	coldLasts   = 3 * time.Second
)

// coldFleet is a model fleet: routers that come and go, know of one another in part, and
// all want to send to few servers; it counts what each server gets.
type coldFleet struct {
	t       require.TestingT
	now     time.Duration
	routers []*coldRouter
	cold    map[string]time.Duration   // until when each server is cold
	began   map[string]time.Duration   // when it turned cold
	sent    map[string][]time.Duration // to each server
	listed  uint64
}

// coldRouter is one router; its machine's clock begins with its life.
type coldRouter struct {
	machine *Machine
	born    time.Duration
	next    RequestID
	knows   int // routers that it knows of, itself included
}

func newColdFleet(t require.TestingT, routers, servers int) *coldFleet {
	f := &coldFleet{
		t: t, now: time.Minute, cold: make(map[string]time.Duration), began: make(map[string]time.Duration),
		sent: make(map[string][]time.Duration),
	}
	for i := range servers {
		f.cold[fmt.Sprint("e", i)] = 0
	}
	for i := range routers {
		f.routers = append(f.routers, &coldRouter{})
		f.start(i, 0)
		f.meet(i, routers)
	}
	return f
}

// start begins a new life of a router.
func (f *coldFleet) start(i int, since time.Duration) {
	r := f.routers[i]
	r.born = since
	r.machine = NewMachine(Options{Zone: "a"})
	r.machine.Update(ConfigMsg{Now: f.now - r.born, Config: Config{
		Version:  1,
		Services: []Service{{Name: "llm", Engine: &Engine{Slots: 640, KVTokens: 900000}, Cold: ColdLimit{PerSecond: coldRate, Lasts: coldLasts}}},
		Limits:   Limits{TokensPerSecond: 1e9},
	}})
	f.list(i)
}

// meet tells a router of how many routers it knows.
func (f *coldFleet) meet(i, known int) {
	r := f.routers[i]
	r.knows = known
	r.machine.Update(MembershipMsg{Now: f.now - r.born, Routers: known, ReportTTL: time.Second, Known: known, Rank: min(i, known-1)})
}

// list brings a router the list of servers as it is.
func (f *coldFleet) list(i int) {
	f.listed++
	d := Directory{Revision: f.listed}
	for n := range len(f.cold) {
		id := fmt.Sprint("e", n)
		d.Servers = append(d.Servers, Server{ID: id, Service: "llm", Zone: "a", Slots: 640, ColdFor: max(f.cold[id]-f.now, 0)})
	}
	r := f.routers[i]
	r.machine.Update(ServersMsg{Now: f.now - r.born, Directory: d})
}

// turn has a server turn cold; routers hear of it by their next list.
func (f *coldFleet) turn(server string) {
	f.cold[server] = f.now + coldLasts
	f.began[server] = f.now
}

// ask has one router get a request, which it may send.
func (f *coldFleet) ask(i int) {
	r := f.routers[i]
	r.next++
	now := f.now - r.born
	cmds := r.machine.Update(RequestMsg{Now: now, Request: Request{
		ID: r.next, Team: "red", Service: "llm", Objective: 400 * time.Millisecond, Deadline: now + time.Second,
		Attempts: 1, PromptTokens: 10, OutputTokens: 1, Parts: []PromptPart{{ID: uint64(r.next)*7919 + uint64(i), Tokens: 5}, {ID: 1, Tokens: 5}},
	}})
	if c, ok := find[SendCmd](cmds); ok {
		f.sent[c.Server.ID] = append(f.sent[c.Server.ID], f.now)
		r.machine.Update(FirstEventMsg{Now: now, ID: r.next})
		r.machine.Update(AttemptEndMsg{Now: now, ID: r.next, Outcome: Done})
		return
	}
	r.machine.Update(CancelMsg{Now: now, ID: r.next})
}

// pass lets time pass; every router gets some requests in each step.
func (f *coldFleet) pass(d time.Duration, each int) {
	for end := f.now + d; f.now < end; {
		f.now += TickInterval
		for i, r := range f.routers {
			r.machine.Update(TickMsg{Now: f.now - r.born})
			for range each {
				f.ask(i)
			}
		}
	}
}

// most returns the most requests that a server got in a second while it was cold, after
// all had heard of it.
func (f *coldFleet) most(server string, from time.Duration) int {
	most, sent := 0, f.sent[server]
	for i, at := range sent {
		if at <= from || at >= f.cold[server] {
			continue
		}
		n := 0
		for _, other := range sent[i:] {
			if other < at+time.Second && other < f.cold[server] {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdServersGetTheirRate floods a fleet whose servers turn cold: no server gets much
// more than it bears in any second, and none of what it bears is wasted.
func TestColdServersGetTheirRate(t *testing.T) {
	for _, routers := range []int{1, 4, 22, 100, 300} {
		f := newColdFleet(t, routers, 3)
		f.pass(250*time.Millisecond, 1)
		for s := range f.cold {
			f.turn(s)
		}
		for i := range f.routers {
			f.list(i)
		}
		began := f.now
		f.pass(coldLasts, 2)
		for s := range f.cold {
			most := f.most(s, began)
			require.LessOrEqual(t, float64(most), coldRate*1.2, "%d routers", routers)
			require.GreaterOrEqual(t, float64(most), coldRate*0.6, "%d routers", routers)
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
		f.pass(100*time.Millisecond, 1)
		heard := make([]int, routers) // rounds until each hears of it
		for i := range f.routers {
			heard[i] = rapid.IntRange(0, 6).Draw(t, "heard")
		}
		for s := range f.cold {
			f.turn(s)
		}
		began := f.now
		for round := range int(coldLasts / (50 * time.Millisecond)) {
			for i := range f.routers {
				switch {
				case heard[i] == round:
					f.list(i)
				case rapid.IntRange(0, 99).Draw(t, "trouble") == 0:
					// Its new life knows a part of the others; nobody forgets it for a minute.
					f.start(i, f.now)
					f.meet(i, rapid.IntRange(1, routers).Draw(t, "knows"))
					heard[i] = -1
				case rapid.IntRange(0, 39).Draw(t, "hears") == 0:
					f.meet(i, rapid.IntRange(f.routers[i].knows, routers).Draw(t, "knows more"))
				}
			}
			f.pass(50*time.Millisecond, 1)
		}
		all := began + 350*time.Millisecond // by then every list has come
		for s := range f.cold {
			require.LessOrEqual(t, float64(f.most(s, all)), math.Floor(coldRate*coldOverrun)+coldSlack, "server %s", s)
		}
	})
}

// TestYoungRoutersLeaveColdServers has a router that has just started send nothing to a
// cold server, and go to others.
func TestYoungRoutersLeaveColdServers(t *testing.T) {
	f := newColdFleet(t, 1, 2)
	f.turn("e0")
	f.start(0, f.now)
	f.pass(time.Second, 1)
	require.Empty(t, f.sent["e0"])
	require.NotEmpty(t, f.sent["e1"])
}

// TestListThatSaysWarm has a newer list say that a cold server is warm: it is taken for
// cold as long as it once said.
func TestListThatSaysWarm(t *testing.T) {
	f := newColdFleet(t, 22, 1)
	f.turn("e0")
	for i := range f.routers {
		f.list(i)
	}
	until := f.cold["e0"]
	f.cold["e0"] = f.now
	for i := range f.routers {
		f.list(i)
	}
	began := f.now
	f.pass(time.Second, 2)
	f.cold["e0"] = until
	require.LessOrEqual(t, float64(f.most("e0", began)), coldRate*1.2)
}

// TestColdServerKeepsItsParts sends a part's requests elsewhere while its server is cold
// and back to it afterwards.
func TestColdServerKeepsItsParts(t *testing.T) {
	b := twoHalls(t)
	part := PromptPart{ID: 4711, Tokens: 1000}
	ask := func() string {
		r := b.request("red", part, PromptPart{ID: uint64(b.next) << 20, Tokens: 100})
		server := b.sent(b.arrive(r))
		b.m.Update(FirstEventMsg{Now: b.now, ID: r.ID})
		b.end(r.ID, Done, false)
		b.now += 10 * time.Millisecond
		return server
	}
	home := ask()
	b.m.Update(MembershipMsg{Now: b.now, Routers: 20, ReportTTL: time.Second, Known: 20, Rank: 19})
	d := hallDirectory(2)
	for i := range d.Servers {
		if d.Servers[i].ID == home {
			d.Servers[i].ColdFor = coldLasts
		}
	}
	b.m.Update(ServersMsg{Now: b.now, Directory: d})
	away := 0
	for range 20 {
		if ask() != home {
			away++
		}
	}
	require.GreaterOrEqual(t, away, 18)
	b.pass(coldLasts)
	for range 5 {
		require.Equal(t, home, ask())
	}
}
