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

func init() { cases["latecrash"] = playLateCrash }

const (
	// poisonBody is the body of the request that crashes engines.
	poisonBody = "hours of member 4711, all years"
	// poisonInterval is the time between two sends of it.
	poisonInterval = 2 * time.Second
	// backAfter is how long a crashed engine is away.
	backAfter = 3 * time.Second
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
)

// playLateCrash sends a stream again and again that crashes each engine which runs it, some time after its first event.
func playLateCrash(f *fleet, trouble bool) (bool, error) {
	crashAfter := 1500 * time.Millisecond
	if text := os.Getenv("CRASH_AFTER"); text != "" {
		crashAfter, _ = time.ParseDuration(text)
	}
	f.store.Put("config", "main", f.config(3))
	type arrival struct {
		at     time.Time
		id     string
		engine string
	}
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	generation := 0
	var add func(zone string) error
	handle := func(e *engine, conn net.Conn, r *http.Request, body string) bool {
		if body != poisonBody {
			return e.stream(conn, r, 10, 20*time.Millisecond)
		}
		id := r.Header.Get(wire["attempt"])
		mu.Lock()
		arrivals = append(arrivals, arrival{time.Now(), id, e.id})
		mu.Unlock()
		f.record.Notef("%s begins to run the request as %s", e.id, id)
		if e.beginStream(conn, r) != nil {
			return false
		}
		begun := time.Now()
		for i := 1; i <= 150; i++ {
			if trouble && time.Since(begun) >= crashAfter {
				mu.Lock()
				crashes = append(crashes, time.Now())
				n := len(crashes)
				mu.Unlock()
				f.record.Notef("%s crashes %.0f ms after its first event: crash %d", e.id, time.Since(begun).Seconds()*1000, n)
				e.close()
				time.AfterFunc(3*1200*time.Millisecond, func() { f.store.Delete("servers", e.id) })
				time.AfterFunc(backAfter, func() { _ = add(e.zone) })
				return false
			}
			if writeChunk(conn, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)) != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, err := fmt.Fprint(conn, "0\r\n\r\n")
		return err == nil
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
	time.Sleep(5 * time.Second)
	start := time.Now()
	var all sync.WaitGroup
	counts := make(map[string]int)
	sound := func(r *router) {
		got := r.do(request{method: "POST", path: "/hour-query/x", key: "key-blue", id: fmt.Sprintf("%016x", rand.Uint64()), body: fmt.Sprint("hours of member ", rand.IntN(1000000)), deadline: 12 * time.Second, header: map[string]string{
			wire["tokens"]: "826,290", wire["prefix"]: fmt.Sprintf("%x:198,%x:628", 77+rand.IntN(200), rand.Uint32()),
		}})
		mu.Lock()
		defer mu.Unlock()
		counts[fmt.Sprint(got.status, got.err != nil)]++
	}
	for n := 0; time.Since(start) < 50*time.Second; n++ {
		r := f.routers[n%len(f.routers)]
		all.Go(func() {
			id := fmt.Sprintf("%016x", rand.Uint64())
			got := r.do(request{method: "POST", path: "/hour-query/x", key: "key-red", id: id, body: poisonBody, deadline: 12 * time.Second, header: map[string]string{
				wire["tokens"]: "826,1500", wire["prefix"]: "4d:198,1267:628",
			}})
			f.record.Notef("%s answered %s with %d, %d events, error %v", r.name, id, got.status, strings.Count(got.body, "\n\n"), got.err)
		})
		for end := time.Now().Add(poisonInterval); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			for _, other := range f.routers {
				all.Go(func() { sound(other) })
			}
		}
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, a := range arrivals {
			if a.at.Sub(crashes[2]) > contactTime {
				late++
			}
		}
	}
	f.record.Notef("sound requests by answer: %v", counts)
	f.record.Notef("%d crashes; %d requests reached engines later than contact_ms after the third", len(crashes), late)
	return late > 3, nil
}
