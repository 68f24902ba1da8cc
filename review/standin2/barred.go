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

func init() { cases["barred"] = playBarred }

const (
	// engineKills is how often all engines are killed at once, engineDown how long they are away, and engineKillGap the
	// time from one kill to the next.
	engineKills   = 5
	engineDown    = 2 * time.Second
	engineKillGap = 2600 * time.Millisecond
	// firstKill, finalFault and dayEnd are the times of the first kill, of the final fault and of the last request.
	firstKill  = 12 * time.Second
	finalFault = 30 * time.Second
	dayEnd     = 56 * time.Second
	// processDown is how long processes are away after the final fault.
	processDown = 700 * time.Millisecond
	// recoveryTime is recovery_s.
	recoveryTime = 12 * time.Second
	// soundParts are the parts that begin the prompts of all requests: sound ones, of an application that sends the same
	// instructions before each question.
	soundParts = "a1c0ffee:512,b2c0ffee:4870"
)

// playBarred sends sound streams whose prompts begin alike. All engines are killed at once some times; later all
// processes are, as a day's final fault. TROUBLE=final has the final fault alone.
func playBarred(f *fleet, trouble bool) (bool, error) {
	f.store.Put("config", "main", f.config(3))
	var mu sync.Mutex
	live := make(map[*engine]bool)
	generation := 0
	var add func(zone string) error
	handle := func(e *engine, conn net.Conn, r *http.Request, _ string) bool {
		time.Sleep(100 * time.Millisecond) // it reads the prompt
		return e.stream(conn, r, 58, 20*time.Millisecond)
	}
	add = func(zone string) error {
		mu.Lock()
		generation++
		id := fmt.Sprint("i-", generation)
		mu.Unlock()
		e, err := f.addEngine(id, "llm", zone, 64, handle)
		if err == nil {
			mu.Lock()
			live[e] = true
			mu.Unlock()
		}
		return err
	}
	// killEngines ends all engines at once. Their entries go after three heartbeats, and others start in their places.
	killEngines := func(down time.Duration) int {
		mu.Lock()
		var victims []*engine
		for e := range live {
			victims = append(victims, e)
		}
		clear(live)
		mu.Unlock()
		for _, e := range victims {
			go e.close()
			time.AfterFunc(3*1200*time.Millisecond, func() { f.store.Delete("servers", e.id) })
			time.AfterFunc(down, func() { _ = add(e.zone) })
		}
		return len(victims)
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
	var backAt time.Duration // when the machines are back after the final fault
	var all sync.WaitGroup
	if trouble {
		all.Go(func() {
			for k := 0; k < engineKills && os.Getenv("TROUBLE") != "final"; k++ {
				time.Sleep(time.Until(start.Add(firstKill + time.Duration(k)*engineKillGap)))
				f.record.Notef("at %.1f s %d engines are killed", time.Since(start).Seconds(), killEngines(engineDown))
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
		at     time.Duration
		served bool
		status int
		body   string
	}
	var outcomes []outcome
	keys := []string{"key-blue", "key-red"}
	routes := []string{"week-review", "hour-query", "code-check"}
	for n := 0; time.Since(start) < dayEnd; n++ {
		for i, r := range f.routers {
			all.Go(func() {
				id := fmt.Sprintf("%016x", rand.Uint64())
				at := time.Since(start)
				got := r.do(request{method: "POST", path: "/" + routes[n%3] + "/x", key: keys[(n+i)%2], id: id, body: "hours of " + id, deadline: 3 * time.Second, header: map[string]string{
					wire["tokens"]: "5482,290", wire["prefix"]: fmt.Sprintf("%s,%x:100", soundParts, rand.Uint32()),
				}})
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome{at, got.err == nil && got.status == http.StatusOK && strings.Count(got.body, "\n\n") == 58, got.status, got.body})
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	for from := time.Duration(0); from < dayEnd; from += 3 * time.Second {
		sent, served, byStatus := 0, 0, make(map[int]int)
		for _, o := range outcomes {
			if o.at >= from && o.at < from+3*time.Second {
				sent++
				byStatus[o.status]++
				if o.served {
					served++
				}
			}
		}
		f.record.Notef("sent from %v to %v: %d, served %d; by status (0: none) %v", from, from+3*time.Second, sent, served, byStatus)
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
				f.record.Notef("the first of these that is not served gets %d %q", o.status, o.body)
			}
		}
	}
	f.record.Notef("before the final fault %d of %d were served; later than recovery_s after the machines were back %d of %d", servedBefore, sentBefore, servedAfter, sentAfter)
	return 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter, nil
}
