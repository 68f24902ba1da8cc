//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/croftvale/croftvale/platform/platformtest"
)

const (
	// deadlyPart crashes each engine that begins to write an answer to a prompt with it.
	deadlyPart = "dead"
	// maxLatePart is the number of requests with such a part that may reach engines, sent by machines
	// in touch later than contactTime after the fifth crash.
	maxLatePart = 3
	freeCrashes = 5
	contactTime = 3 * time.Second
	// backAfter is the time from the crash of an engine until it is back.
	backAfter = 2 * time.Second
)

// deadlyEngines keeps engines running that a part of prompts crashes.
type deadlyEngines struct {
	f       *fleet
	mu      sync.Mutex
	current map[string]*platformtest.Engine
}

// start starts an engine, and again after each crash, under its id.
func (d *deadlyEngines) start(id, zone string) {
	e := d.f.addEngine(id, zone, "v1", func(e *platformtest.Engine) {
		e.Events, e.EventInterval, e.CrashParts = 5, 20*time.Millisecond, []string{deadlyPart}
		e.StartMillis = time.Now().UnixMilli()
		e.OnCrash = func() {
			d.f.record.add("platform engine %s crashes", id)
			time.AfterFunc(backAfter, func() { d.start(id, zone) })
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current[id] = e
}

func (d *deadlyEngines) all() []*platformtest.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*platformtest.Engine
	for _, e := range d.current {
		out = append(out, e)
	}
	return out
}

// partLoad sends requests at a rate, to one machine after the other, until the time is over. No two are
// alike.
func partLoad(f *fleet, name, shared string, pause time.Duration, until time.Time) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			s := newStream(f.record, fmt.Sprintf("%s%d", name, i), fmt.Sprintf("%s,%x:20", shared, 1<<32+i), 4*time.Second)
			s.path = "/tag/stream"
			all.Go(func() { s.attempt(f.routers[i%len(f.routers)], func(int) {}) })
			time.Sleep(pause)
		}
	})
	return &all
}

// firstTogether is the number of requests with the deadly part that come at the same moment at first.
const firstTogether = 8

// copyPart has a part of prompts crash engines until it is barred. The store comes back from a copy
// that was made before. Later the store cuts the watches that wait, as it may at any time. No folder of
// the review holds this case; see REPORT.md.
func copyPart(f *fleet, t trouble) (bool, string, error) {
	if err := newMachines(f, false); err != nil {
		return false, "", err
	}
	engines := &deadlyEngines{f: f, current: make(map[string]*platformtest.Engine)}
	for i := range 12 {
		engines.start(fmt.Sprintf("i-%d", i), zones[i%3])
	}
	if err := f.startAll(); err != nil {
		return false, "", err
	}
	until := time.Now().Add(32 * time.Second)
	sound := partLoad(f, "sound", "f1:100,c1:100", 80*time.Millisecond, until)
	time.Sleep(4 * time.Second)
	copied := f.store.Snapshot()
	f.record.add("platform the store makes a copy")
	var first sync.WaitGroup
	for i := range firstTogether {
		s := newStream(f.record, fmt.Sprint("first", i), fmt.Sprintf("f1:100,%s:100,%x:20", deadlyPart, 1<<36+i), 4*time.Second)
		s.path = "/tag/stream"
		first.Go(func() { s.attempt(f.routers[i%len(f.routers)], func(int) {}) })
	}
	first.Wait()
	deadly := partLoad(f, "deadly", "f1:100,"+deadlyPart+":100", 250*time.Millisecond, until)
	time.Sleep(4 * time.Second)
	unstableFrom, unstableTo := time.Time{}, time.Time{}
	if t.on() {
		unstableFrom = time.Now()
		f.drill(copied, engines.all(), false)
		unstableTo = time.Now().Add(contactTime)
	}
	time.Sleep(7 * time.Second)
	f.record.add("platform the store cuts the watches that wait")
	f.store.SetFault(platformtest.ConnReset, func(r *http.Request) bool { return r.URL.Query().Has("watch") })
	time.Sleep(20 * time.Millisecond)
	f.store.SetFault(platformtest.NoFault, nil)
	sound.Wait()
	deadly.Wait()
	return judgeParts(f, unstableFrom, unstableTo)
}

// judgeParts counts the requests with the deadly part that reached engines later than contactTime after
// the fifth crash, sent by machines in touch.
func judgeParts(f *fleet, unstableFrom, unstableTo time.Time) (bool, string, error) {
	var sends []time.Time
	var routers []string
	soundRuns := 0
	for _, e := range f.allEngines() {
		for _, run := range e.Runs() {
			if !strings.Contains(run.Header.Get(names.PromptPrefix), deadlyPart+":") {
				soundRuns++
				continue
			}
			sends, routers = append(sends, run.At), append(routers, run.Header.Get("Test-Router"))
		}
	}
	if len(sends) < freeCrashes {
		return false, "", fmt.Errorf("only %d requests with the part reached engines", len(sends))
	}
	fifth := sorted(sends)[freeCrashes-1]
	late, allLate := 0, 0
	for i, at := range sends {
		if !at.After(fifth.Add(contactTime)) {
			continue
		}
		allLate++
		inTouch := at.Before(unstableFrom) || at.After(unstableTo)
		for _, r := range f.routers {
			if r.name == routers[i] && r.disturbedWithin(at, contactTime) {
				inTouch = false
			}
		}
		if inTouch {
			late++
			f.record.add("judge    a request with the part reached an engine from %s at %.3f, in touch", routers[i], f.record.since(at).Seconds())
		}
	}
	figures := fmt.Sprintf("BUDGET: %d requests with the part reached engines from machines in touch later than %v after the fifth crash (%d allowed), %d from any machine, %d in all; %d sound ones ran", late, contactTime, maxLatePart, allLate, len(sends), soundRuns)
	return late > maxLatePart, figures, nil
}
