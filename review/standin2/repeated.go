//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["repeated"] = playRepeated }

const (
	// enginesKilled is when all engines are killed, once, and enginesDown how long they are away.
	enginesKilled = 14 * time.Second
	enginesDown   = 2 * time.Second
	// finalFault and repeatedEnd are the times of the final fault and of the last request.
	finalFault  = 22 * time.Second
	repeatedEnd = 48 * time.Second
	// processDown is how long processes are away after the final fault.
	processDown = 700 * time.Millisecond
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
	// otherQuestions is how many in a hundred requests ask something that nobody else asks.
	otherQuestions = 15
)

// playRepeated lets most clients ask the same question again and again. All engines are killed at once, a single time;
// later all processes are, as a day's final fault. TROUBLE=final has the final fault alone.
func playRepeated(f *fleet, trouble bool) (bool, error) {
	f.store.Put("config", "main", f.config(3))
	var mu sync.Mutex
	live := make(map[*engine]bool)
	generation := 0
	handle := func(e *engine, conn net.Conn, r *http.Request, _ string) bool {
		f.record.Notef("%s runs %s", e.id, r.Header.Get(wire["attempt"]))
		time.Sleep(100 * time.Millisecond) // it reads the prompt
		return e.stream(conn, r, 58, 20*time.Millisecond)
	}
	add := func(zone string) error {
		mu.Lock()
		defer mu.Unlock()
		generation++
		e, err := f.addEngine(fmt.Sprint("i-", generation), "llm", zone, 64, handle)
		if err == nil {
			live[e] = true
		}
		return err
	}
	// killEngines ends all engines at once. Their entries go after three heartbeats, and others start in their places.
	killEngines := func(down time.Duration) int {
		mu.Lock()
		defer mu.Unlock()
		n := len(live)
		for e := range live {
			go e.close()
			time.AfterFunc(3*1200*time.Millisecond, func() { f.store.Delete("servers", e.id) })
			time.AfterFunc(down, func() { _ = add(e.zone) })
		}
		clear(live)
		return n
	}
	for i := range 9 {
		if err := add(zoneNames[i%3]); err != nil {
			return false, err
		}
	}
	for range 5 {
		f.addRouter()
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	start := time.Now()
	backAt := finalFault + processDown // when the machines are back after the final fault
	var all sync.WaitGroup
	if trouble {
		all.Go(func() {
			if os.Getenv("TROUBLE") != "final" {
				time.Sleep(time.Until(start.Add(enginesKilled)))
				f.record.Notef("at %.1f s %d engines are killed", time.Since(start).Seconds(), killEngines(enginesDown))
			}
			time.Sleep(time.Until(start.Add(finalFault)))
			f.store.Put("config", "main", f.config(7))
			f.record.Notef("at %.1f s version 7 of the configuration is acknowledged", time.Since(start).Seconds())
			f.record.Notef("at %.1f s the final fault: all routers and %d engines are killed", time.Since(start).Seconds(), killEngines(processDown))
			var kills sync.WaitGroup
			for _, r := range f.routers {
				kills.Go(r.kill)
			}
			kills.Wait()
			time.Sleep(processDown)
			for _, r := range f.routers {
				if err := r.start(); err != nil {
					f.record.Notef("%s does not start: %v", r.name, err)
				}
			}
			mu.Lock()
			backAt = time.Since(start)
			mu.Unlock()
			f.record.Notef("at %.1f s all are back", backAt.Seconds())
		})
	}
	type outcome struct {
		at       time.Duration
		repeated bool
		served   bool
		status   int
		body     string
		from     string
	}
	var outcomes []outcome
	for n := 0; time.Since(start) < repeatedEnd; n++ {
		for _, r := range f.routers {
			all.Go(func() {
				at, id := time.Since(start), fmt.Sprintf("%016x", rand.Uint64())
				q := request{method: "POST", path: "/week-review/x", key: "key-blue", id: id, body: "who is on duty this week?", deadline: 3 * time.Second, header: map[string]string{
					wire["tokens"]: "482,290", wire["prefix"]: "a1c0ffee:382,4711:100",
				}}
				repeated := rand.IntN(100) >= otherQuestions
				if !repeated {
					q.key, q.body = "key-red", "hours of "+id
					q.header[wire["prefix"]] = fmt.Sprintf("a1c0ffee:382,%x:100", rand.Uint32())
				}
				got := r.do(q)
				f.record.Notef("%s sent to %s, question %q: status %d, %d events", id, r.name, q.body, got.status, strings.Count(got.body, "\n\n"))
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome{at, repeated, got.err == nil && got.status == http.StatusOK && strings.Count(got.body, "\n\n") == 58, got.status, got.body, r.name})
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	for from := time.Duration(0); from < repeatedEnd; from += 2 * time.Second {
		sent, served, others, othersServed, byStatus := 0, 0, 0, 0, make(map[int]int)
		for _, o := range outcomes {
			if o.at < from || o.at >= from+2*time.Second {
				continue
			}
			byStatus[o.status]++
			if o.repeated {
				sent++
			} else {
				others++
			}
			switch {
			case o.served && o.repeated:
				served++
			case o.served:
				othersServed++
			}
		}
		f.record.Notef("sent from %v to %v: the question %d, served %d; others %d, served %d; by status (0: none) %v", from, from+2*time.Second, sent, served, others, othersServed, byStatus)
	}
	sentBefore, servedBefore, sentAfter, servedAfter := 0, 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.at < finalFault:
			sentBefore++
			if o.served {
				servedBefore++
			}
		case o.at > backAt+recoveryTime:
			sentAfter++
			if o.served {
				servedAfter++
			} else if sentAfter-servedAfter == 1 {
				f.record.Notef("the first of these that is not served gets %d %q from %s", o.status, strings.TrimSpace(o.body), o.from)
			}
		}
	}
	f.record.Notef("before the final fault %d of %d were served; later than recovery_s after the machines were back %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)
	return 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter, nil
}
