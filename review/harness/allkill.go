//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// patientTries is how often a client takes up a stream that it is told to take up later.
const patientTries = 6

// lostVersion has engines of two versions serve side by side, kills all machines at once, and starts
// them again. Clients take their streams up, and others begin new ones, at machines in touch. No folder
// of the review holds this case; see REPORT.md.
func lostVersion(f *fleet, t trouble) (bool, string, error) {
	if _, err := startFleet(f, false, 4); err != nil {
		return false, "", err
	}
	addVersion(f, "v2", 0, 4)
	time.Sleep(contactTime)
	streams := newStreams(f, "s", streamsPlayed)
	begin(streams, time.Second, func(i int) *router { return f.routers[i%4] })
	time.Sleep(500 * time.Millisecond)
	if t.on() {
		f.record.add("trouble  all machines are killed")
		for _, r := range f.routers {
			r.kill()
		}
		time.Sleep(restartDelay)
		for _, r := range f.routers {
			if err := r.start(); err != nil {
				return false, "", err
			}
		}
	}
	// Clients wait as told between tries.
	var ended sync.WaitGroup
	var mu sync.Mutex
	asked, wentOn := 0, 0
	for i, s := range streams {
		ended.Go(func() {
			<-s.broken
			for n := 0; n < patientTries && !s.isFinished() && time.Until(s.deadline) > 500*time.Millisecond; n++ {
				time.Sleep(max(s.wait(), time.Second))
				r, before, at := f.routers[(i+1)%4], s.begun(), time.Now()
				s.attempt(r, func(int) {})
				if r.disturbedWithin(at, contactTime) {
					continue
				}
				mu.Lock()
				asked++
				if s.begun() > before {
					wentOn++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(contactTime + 2*time.Second)
	fresh := newStreams(f, "new", streamsPlayed)
	begin(fresh, 2*time.Second, func(i int) *router { return f.routers[i%4] })
	ended.Wait()
	begun := 0
	for _, s := range fresh {
		if s.begun() > 0 {
			begun++
		}
	}
	codes := make(map[int]int)
	for _, s := range streams {
		codes[s.status]++
	}
	share, usual := float64(wentOn)/float64(max(asked, 1)), float64(begun)/float64(len(fresh))
	figures := fmt.Sprintf("LOST: %d of %d tries to take a stream up at machines in touch went on (%.2f), %d of %d new streams began (%.2f); last answers by status %v",
		wentOn, asked, share, begun, len(fresh), usual, codes)
	return asked >= 12 && share < usual/2, figures, nil
}
