//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/croftvale/croftvale/platform/platformtest"
)

// maxLost is the number of requests on kept connections that a machine may hand to a sound engine and
// then leave without an answer.
const maxLost = 3

// keptClients is the number of clients that keep a connection, per machine.
const keptClients = 10

// copyCrash has clients send requests on connections that they keep. Meanwhile the store is away for
// a moment, twice, and comes back from a copy that is some seconds old. Nothing else happens. The first
// time it resets all calls. The second time it answers no new calls, and watches that wait go on waiting.
func copyCrash(f *fleet, t trouble) (bool, string, error) {
	if err := newMachines(f, false); err != nil {
		return false, "", err
	}
	var engines []*platformtest.Engine
	for i := range 6 {
		engines = append(engines, f.addEngine(fmt.Sprintf("i-app-%d", i), zones[i%3], "v1", func(e *platformtest.Engine) {
			e.Service, e.Slots, e.ServiceTime = appService, 12, 250*time.Millisecond
		}))
	}
	addVersion(f, "v1", 0, 6)
	if err := f.startAll(); err != nil {
		return false, "", err
	}
	stopWatch := f.restartEnded()
	defer stopWatch()
	time.Sleep(3 * time.Second)
	until := time.Now().Add(42 * time.Second)
	var clients []*keptClient
	var ended sync.WaitGroup
	for i := range keptClients * len(f.routers) {
		c := &keptClient{id: fmt.Sprintf("k%d", i), route: []string{"once", "safe"}[i/len(f.routers)%2], to: f.routers[i%len(f.routers)], record: f.record}
		clients = append(clients, c)
		ended.Go(func() { c.run(until) })
	}
	var backAt time.Time // when the store was back from the second drill
	for _, quiet := range []bool{false, true} {
		time.Sleep(time.Second)
		copied := f.store.Snapshot()
		f.record.add("platform the store makes a copy")
		time.Sleep(3 * time.Second)
		if t.on() {
			f.drill(copied, engines, quiet)
		}
		backAt = time.Now()
		time.Sleep(5 * time.Second)
	}
	ended.Wait()
	return judgeLost(f, clients, engines, backAt)
}

// drill has the store away for a moment, and back from a copy. Engines write their entries again.
func (f *fleet) drill(copied platformtest.Snapshot, engines []*platformtest.Engine, quiet bool) {
	f.record.add("trouble  the store is away for a moment")
	if quiet {
		f.store.SetFault(platformtest.NoResponse, func(r *http.Request) bool { return !r.URL.Query().Has("watch") })
	} else {
		f.store.SetFault(platformtest.ConnReset, nil)
	}
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(copied)
	f.store.SetFault(platformtest.NoFault, nil)
	f.record.add("trouble  the store is back from the copy")
	for i, e := range engines {
		time.AfterFunc(time.Duration(100+100*i)*time.Millisecond, func() {
			if !e.Crashed() {
				f.store.Put("servers", e.ID, e.Entry())
			}
		})
	}
}

// judgeLost counts, by machine, the requests on kept connections that an engine ran and that got no
// answer. Engines here are sound throughout. Those lost later than contactTime after the second drill
// are lost by machines that are in touch by every condition; of the others, disturbance of the store is
// the only thing that could be named.
func judgeLost(f *fleet, clients []*keptClient, engines []*platformtest.Engine, backAt time.Time) (bool, string, error) {
	ran := make(map[string]bool)
	for _, e := range engines {
		for _, run := range e.Runs() {
			ran[run.Header.Get(names.AttemptID)] = true
		}
	}
	near, calm, done := make(map[string]int), make(map[string]int), 0
	for _, c := range clients {
		done += c.done
		for _, l := range c.lost {
			if !ran[l.id] {
				continue
			}
			lost, when := near, "near a drill"
			if l.end.After(backAt.Add(contactTime)) {
				lost, when = calm, "in calm"
			}
			lost[c.to.name]++
			f.record.add("judge    request %s was handed to a sound engine, and its connection to %s shut without an answer, %s", l.id, c.to.name, when)
		}
	}
	ends := 0
	for _, r := range f.routers {
		ends += r.endedByItself()
	}
	if done < 200 {
		return false, "", fmt.Errorf("only %d requests were answered", done)
	}
	figures := fmt.Sprintf("LOST: at most %d requests on kept connections of one machine near a drill, and %d in calm (%d allowed); by machine %v and %v; %d answered; processes ended by themselves %d times",
		most(near), most(calm), maxLost, near, calm, done, ends)
	return most(near) > maxLost || most(calm) > maxLost, figures, nil
}

func most(counts map[string]int) int {
	out := 0
	for _, n := range counts {
		out = max(out, n)
	}
	return out
}
