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
	// crashingGroups groups of crashingRequests different requests come, each request every crashingInterval for groupTime,
	// at any machine. crashDelay is the time from the first token of such a request to the crash of its engine, and
	// crashedTime how long the engine is away.
	crashingGroups   = 4
	crashingRequests = 8
	groupTime        = 2500 * time.Millisecond
	groupInterval    = 6 * time.Second
	crashingInterval = 500 * time.Millisecond
	crashDelay       = 100 * time.Millisecond
	crashedTime      = 4 * time.Second
	// firstGroup and dayEnd are the times of the first group and of the last request.
	firstGroup = 10 * time.Second
	dayEnd     = 56 * time.Second
	// crashingBody begins the bodies of the requests that crash engines.
	crashingBody = "all years of member "
	// soundPart begins the prompts of all requests: a sound part, the instructions that an application sends before each
	// question. crashingPart crashes the engines that begin to write on it.
	soundPart    = "a1c0ffee:5382"
	crashingPart = "dead4711:40"
)

// playBarred sends sound streams whose prompts begin with the same part. Some other requests crash each engine that begins
// to run them, and so does a part of prompts. TROUBLE=part has the part alone.
func playBarred(f *fleet, trouble bool) (bool, error) {
	f.store.Put("config", "main", f.config(3))
	var mu sync.Mutex
	crashed := make(map[*engine]bool)
	var lastCrash time.Time
	generation, partCrashes := 0, 0
	var add func(zone string) error
	crash := func(e *engine, why string, byPart bool) {
		mu.Lock()
		again := crashed[e]
		if !again {
			crashed[e], lastCrash = true, time.Now()
			if byPart {
				partCrashes++
			}
		}
		mu.Unlock()
		if again {
			return
		}
		f.record.Notef("%s crashes: %s", e.id, why)
		e.close()
		time.AfterFunc(3*1200*time.Millisecond, func() { f.store.Delete("servers", e.id) })
		time.AfterFunc(crashedTime, func() { _ = add(e.zone) })
	}
	handle := func(e *engine, conn net.Conn, r *http.Request, body string) bool {
		f.record.Notef("%s runs %s", e.id, r.Header.Get(wire["attempt"]))
		time.Sleep(100 * time.Millisecond) // it reads the prompt
		byPart := strings.Contains(r.Header.Get(wire["prefix"]), crashingPart)
		if byPart || strings.HasPrefix(body, crashingBody) {
			time.Sleep(crashDelay)
			crash(e, body, byPart)
			return false
		}
		return e.stream(conn, r, 58, 20*time.Millisecond)
	}
	add = func(zone string) error {
		mu.Lock()
		generation++
		id := fmt.Sprint("i-", generation)
		mu.Unlock()
		_, err := f.addEngine(id, "llm", zone, 64, handle)
		return err
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
	var all sync.WaitGroup
	keys := []string{"key-blue", "key-red"}
	routes := []string{"week-review", "hour-query", "code-check"}
	send := func(r *router, n int, key, body, prefix string) reply {
		id := fmt.Sprintf("%016x", rand.Uint64())
		got := r.do(request{method: "POST", path: "/" + routes[n%3] + "/x", key: key, id: id, body: body, deadline: 3 * time.Second, header: map[string]string{
			wire["tokens"]: "5482,290", wire["prefix"]: prefix,
		}})
		f.record.Notef("%s sent to %s, %q: status %d, %d events %.20q", id, r.name, body, got.status, strings.Count(got.body, "\n\n"), got.body)
		return got
	}
	anyRouter := func() *router { return f.routers[rand.IntN(len(f.routers))] }
	// sendCrashing sends one of the requests that crash engines, again and again.
	sendCrashing := func(group, k int) {
		begin := start.Add(firstGroup + time.Duration(group)*groupInterval)
		time.Sleep(time.Until(begin) + time.Duration(rand.Int64N(int64(crashingInterval))))
		for time.Since(begin) < groupTime {
			r, body := anyRouter(), fmt.Sprint(crashingBody, crashingRequests*group+k)
			send(r, k, keys[0], body, fmt.Sprintf("%s,%x:100", soundPart, 4711+crashingRequests*group+k))
			time.Sleep(crashingInterval)
		}
	}
	// sendPart sends requests with the part that crashes engines, no two alike, until the end.
	sendPart := func() {
		time.Sleep(time.Until(start.Add(firstGroup)))
		for n := 0; time.Since(start) < dayEnd; n++ {
			r, body := anyRouter(), fmt.Sprintf("the part, request %d", n)
			send(r, n, keys[0], body, fmt.Sprintf("%s,%s,%x:100", soundPart, crashingPart, rand.Uint32()))
			time.Sleep(crashingInterval)
		}
	}
	if trouble {
		all.Go(sendPart)
		for n := range crashingGroups * crashingRequests {
			if os.Getenv("TROUBLE") != "part" {
				all.Go(func() { sendCrashing(n/crashingRequests, n%crashingRequests) })
			}
		}
	}
	type outcome struct {
		at         time.Duration
		begun      bool
		status     int
		body, host string
	}
	var outcomes []outcome
	for n := 0; time.Since(start) < dayEnd; n++ {
		for i, r := range f.routers {
			all.Go(func() {
				at := time.Since(start)
				got := send(r, n, keys[(n+i)%2], fmt.Sprintf("hours, question %d-%d", n, i), fmt.Sprintf("%s,%x:100", soundPart, rand.Uint32()))
				mu.Lock()
				defer mu.Unlock()
				outcomes = append(outcomes, outcome{at, got.status == http.StatusOK && strings.Contains(got.body, "\n\n"), got.status, got.body, r.name})
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	for from := time.Duration(0); from < dayEnd; from += 3 * time.Second {
		sent, begun, byStatus := 0, 0, make(map[int]int)
		for _, o := range outcomes {
			if o.at >= from && o.at < from+3*time.Second {
				sent++
				byStatus[o.status]++
				if o.begun {
					begun++
				}
			}
		}
		f.record.Notef("sound requests sent from %v to %v: %d, begun %d; by status (0: none) %v", from, from+3*time.Second, sent, begun, byStatus)
	}
	// The rule counts from 2 x contact_ms after the fifth crash by the part, or its last one. Counted here is from as long
	// after the last crash by anything.
	judged := firstGroup + time.Duration(crashingGroups)*groupInterval
	if trouble {
		judged = lastCrash.Add(2 * contactTime).Sub(start)
	}
	sentBefore, begunBefore, sentAfter, begunAfter := 0, 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.at < firstGroup-time.Second:
			sentBefore++
			if o.begun {
				begunBefore++
			}
		case o.at > judged:
			sentAfter++
			if o.begun {
				begunAfter++
			} else if sentAfter-begunAfter == 1 {
				f.record.Notef("the first of those judged that does not begin: sent to %s, status %d %q", o.host, o.status, o.body)
			}
		}
	}
	f.record.Notef("%d engines crashed, %d of them by the part", len(crashed), partCrashes)
	f.record.Notef("sound requests that begin at the first attempt: %d of %d before the first crash, %d of %d later than 2 x contact_ms after the last crash (from %.1f s on)", begunBefore, sentBefore, begunAfter, sentAfter, judged.Seconds())
	return sentBefore >= 20 && sentAfter >= 20 && 2*begunAfter*sentBefore < begunBefore*sentAfter, nil
}
