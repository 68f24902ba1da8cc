//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/croftvale/croftvale/platform/platformtest"
)

// barredFirst is the number of engines that crash, one after the other, until a part is barred.
const barredFirst = 6

// copyVersion has a part of prompts barred at first, as the routers do not outlive a drill of the store
// otherwise (case 1). Then engines of a second version start, and the store comes back from a copy that
// was made before; watches that wait go on waiting. Long after that the first version leaves, and all
// machines are killed and start again. No folder of the review holds this case; see REPORT.md.
func copyVersion(f *fleet, t trouble) (bool, string, error) {
	if err := newMachines(f, false); err != nil {
		return false, "", err
	}
	for i := range barredFirst {
		f.addEngine(fmt.Sprint("i-crash-", i), zones[i%3], "v1", func(e *platformtest.Engine) { e.CrashParts = []string{deadlyPart} })
	}
	if err := f.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(contactTime)
	for n := range 2 * barredFirst {
		s := newStream(f.record, fmt.Sprint("deadly", n), fmt.Sprintf("f1:100,%s:100,%x:20", deadlyPart, 1<<36+n), 3*time.Second)
		s.attempt(f.routers[n%4], func(int) {})
		time.Sleep(100 * time.Millisecond)
	}
	for i := range barredFirst {
		f.store.Delete("servers", fmt.Sprint("i-crash-", i))
	}
	old := addVersion(f, "v1", 0, 4)
	time.Sleep(contactTime)
	if len(f.store.Names(names.PartsKind)) == 0 {
		return false, "", fmt.Errorf("no part was barred")
	}
	copied := f.store.Snapshot()
	f.record.add("platform the store makes a copy")
	second := addVersion(f, "v2", 0, 4)
	time.Sleep(contactTime)
	f.record.add("platform the store keeps the versions of %v", f.store.Names(names.VersionsKind))
	if t.on() {
		f.drill(copied, second, true)
	}
	time.Sleep(2 * contactTime)
	f.record.add("platform the store keeps the versions of %v", f.store.Names(names.VersionsKind))
	streams := newStreams(f, "s", streamsPlayed)
	begin(streams, time.Second, func(i int) *router { return f.routers[i%4] })
	leave(f, old, 2500*time.Millisecond)
	time.Sleep(2200 * time.Millisecond)
	if t.on() {
		f.record.add("trouble  all machines are killed")
		for _, r := range f.routers {
			r.kill()
		}
		for _, r := range f.routers {
			if err := r.start(); err != nil {
				return false, "", err
			}
		}
	}
	resume(streams, 600*time.Millisecond, func(i int) *router { return f.routers[(i+1)%4] })
	return judge(f, streams)
}
