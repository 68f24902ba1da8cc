//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/croftvale/croftvale/platform/platformtest"
)

// Zones of the machines and engines.
const (
	zoneA = "lausanne-a"
	zoneB = "lausanne-b"
	zoneC = "geneva-c"
)

var zones = []string{zoneA, zoneB, zoneC}

// maxMixed is the number of streams that may hold events of two versions.
const maxMixed = 2

// streamsPlayed is the number of streams that are broken and resumed.
const streamsPlayed = 32

// streamTime is how long clients wait for a whole stream.
const streamTime = 15 * time.Second

// newMachines adds four machines in three zones; the last one is in the zone of the first, and
// behind a link if linked.
func newMachines(f *fleet, linked bool) error {
	for i, zone := range []string{zoneA, zoneB, zoneC, zoneA} {
		if _, err := f.addRouter(zone, linked && i == 3); err != nil {
			return err
		}
	}
	return nil
}

// addVersion starts n engines of a version, from number first on, spread over the zones.
func addVersion(f *fleet, version string, first, n int) []*platformtest.Engine {
	var out []*platformtest.Engine
	for i := first; i < first+n; i++ {
		out = append(out, f.addEngine(fmt.Sprintf("i-%s-%d", version, i), zones[i%3], version, func(e *platformtest.Engine) {
			e.Events, e.EventInterval = 60, 100*time.Millisecond
		}))
	}
	return out
}

// releaseGap is the time between two steps of a release, of two engines each.
const releaseGap = 870 * time.Millisecond

// release starts engines of a new version, two at a time. For each two, two old ones leave: their
// entries go at once, and they serve on for drain_ms and a little longer.
func release(f *fleet, version string, n int, old []*platformtest.Engine) {
	for i := 0; i < n; i += 2 {
		if i > 0 {
			time.Sleep(releaseGap)
		}
		addVersion(f, version, i, 2)
		if len(old) >= i+2 {
			time.Sleep(100 * time.Millisecond)
			leave(f, old[i:i+2], 2500*time.Millisecond)
		}
	}
}

// startFleet starts engines of the first version and all machines, and gives them time to know each
// other.
func startFleet(f *fleet, linked bool, engines int) ([]*platformtest.Engine, error) {
	if err := newMachines(f, linked); err != nil {
		return nil, err
	}
	first := addVersion(f, "v1", 0, engines)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // calm, longer than contact_ms
	return first, nil
}

// newStreams returns streams with a prompt of their own each.
func newStreams(f *fleet, name string, n int) []*clientStream {
	out := make([]*clientStream, n)
	for i := range out {
		out[i] = newStream(f.record, fmt.Sprintf("%s%d", name, i), fmt.Sprintf("a%x:100,b%x:100,c%x:100", i, i, i), streamTime)
	}
	return out
}

// begin asks machines for streams, and returns once all have had an event or the limit is over.
func begin(streams []*clientStream, limit time.Duration, at func(i int) *router) {
	for i, s := range streams {
		go func() {
			s.attempt(at(i), func(int) {})
			close(s.broken)
		}()
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		n := 0
		for _, s := range streams {
			if s.begun() > 0 {
				n++
			}
		}
		if n == len(streams) {
			break
		}
	}
}

// resume has the clients take up what has broken off, on a new connection. Each waits before: after a
// reset a moment, and where machines have gone silent until the gap is too long for it.
func resume(streams []*clientStream, wait time.Duration, at func(i int) *router) {
	var ended sync.WaitGroup
	for i, s := range streams {
		ended.Go(func() {
			<-s.broken
			time.Sleep(wait)
			for n := 0; n < maxTries && !s.isFinished() && time.Until(s.deadline) > 100*time.Millisecond; n++ {
				if n > 0 {
					time.Sleep(max(s.wait(), 500*time.Millisecond))
				}
				s.attempt(at(i), func(int) {})
			}
		})
	}
	ended.Wait()
}

const (
	// maxTries is how often a client takes up a stream again.
	maxTries = 2
	// resetWait is the time from the end of a connection to the next try, and gapWait that from the
	// last event to the next try where nothing comes any more: somewhat over two seconds.
	resetWait = 100 * time.Millisecond
	gapWait   = 2200 * time.Millisecond
)

// judge counts the streams that hold events of two versions.
func judge(f *fleet, streams []*clientStream) (bool, string, error) {
	mixed, begun, resumed, finished := 0, 0, 0, 0
	for _, s := range streams {
		versions := s.versions()
		if len(versions) > 1 {
			mixed++
			f.record.add("judge    stream %s holds events of %v, in %d tries", s.id, versions, s.tries)
		}
		if len(versions) > 0 {
			begun++
		}
		if s.tries > 1 {
			resumed++
		}
		if s.finished {
			finished++
		}
	}
	figures := fmt.Sprintf("ORDER: %d streams with events of two versions (%d allowed), of %d begun, %d taken up again, %d finished", mixed, maxMixed, begun, resumed, finished)
	if begun < len(streams)/2 {
		return false, "", fmt.Errorf("only %d of %d streams have begun", begun, len(streams))
	}
	return mixed > maxMixed, figures, nil
}

// leave takes engines out of service: their entries go at once, and they serve on for a while.
func leave(f *fleet, engines []*platformtest.Engine, serveOn time.Duration) {
	for _, e := range engines {
		f.store.Delete("servers", e.ID)
		f.record.add("platform the entry of %s goes", e.ID)
	}
	go func() {
		time.Sleep(serveOn)
		for _, e := range engines {
			e.Close()
			f.record.add("platform engine %s ends", e.ID)
		}
	}()
}

// cutVersion cuts one machine off from the store and from all others. Engines of a second version
// start meanwhile. The other machine of the zone, which knows them, is killed, and its clients take
// their streams up at the one that is cut off. Of the trouble, "kill" and "cut" play one half, and with
// "one_way" the machine that is cut off still hears the others.
func cutVersion(f *fleet, t trouble) (bool, string, error) {
	if _, err := startFleet(f, true, 6); err != nil {
		return false, "", err
	}
	first, cut := f.routers[0], f.routers[3]
	if t.on() && t != "kill" {
		cut.store.setCut(true)
		cut.link.cut(true, t != "one_way")
		f.record.add("trouble  %s is cut off from the store and from the other machines", cut.name)
	}
	release(f, "v2", 4, nil)
	time.Sleep(400 * time.Millisecond)
	streams := newStreams(f, "s", streamsPlayed)
	begin(streams, 500*time.Millisecond, func(int) *router { return first })
	time.Sleep(100 * time.Millisecond)
	if t.on() && t != "cut" {
		f.record.add("trouble  %s is killed", first.name)
		first.kill()
	}
	f.record.add("platform %s says ready=%v", cut.name, cut.ready())
	resume(streams, resetWait, func(int) *router { return cut })
	return judge(f, streams)
}

// outageVersion has all machines lose power for some seconds. Meanwhile the engines are replaced by
// those of a second version. The clients take their streams up when the machines are back. Of the
// trouble, "kill" plays the loss of power without the new version.
func outageVersion(f *fleet, t trouble) (bool, string, error) {
	old, err := startFleet(f, false, 4)
	if err != nil {
		return false, "", err
	}
	streams := newStreams(f, "s", streamsPlayed)
	begin(streams, time.Second, func(i int) *router { return f.routers[i%4] })
	time.Sleep(500 * time.Millisecond)
	if t.on() {
		f.record.add("trouble  all machines lose power")
		for _, r := range f.routers {
			r.kill()
		}
	}
	back := make(chan error, 1)
	go func() {
		end := time.Now().Add(outage)
		if t != "kill" {
			release(f, "v2", 4, old)
		}
		time.Sleep(time.Until(end))
		if t.on() {
			f.record.add("trouble  all machines have power again")
			for _, r := range f.routers {
				if err := r.start(); err != nil {
					back <- err
					return
				}
			}
		}
		back <- nil
	}()
	resume(streams, gapWait, func(i int) *router { return f.routers[(i+1)%4] })
	if err := <-back; err != nil {
		return false, "", err
	}
	return judge(f, streams)
}

// outage is how long the machines have no power.
const outage = 1800 * time.Millisecond
