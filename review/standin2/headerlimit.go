//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["headerlimit"] = playHeaderLimit }

// playHeaderLimit raises max_header_bytes in a new version of the configuration. Clients then send prompts of many
// parts, whose headers are within the limit that is in force.
func playHeaderLimit(f *fleet, trouble bool) (bool, error) {
	const parts = 2600 // each takes 15 bytes of a header
	f.store.Put("config", "main", f.config(3))
	var mu sync.Mutex
	ran := make(map[string]bool)
	for i := range 9 {
		_, err := f.addEngine(fmt.Sprint("i-", i), "llm", zoneNames[i%3], 64, func(e *engine, conn net.Conn, r *http.Request, _ string) bool {
			mu.Lock()
			ran[r.Header.Get(wire["attempt"])] = true
			mu.Unlock()
			return e.stream(conn, r, 5, 5*time.Millisecond)
		})
		if err != nil {
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
	if trouble {
		next := f.config(7)
		next["limits"].(map[string]any)["max_header_bytes"] = 65536
		f.store.Put("config", "main", next)
		f.record.Notef("version 7 is acknowledged: max_header_bytes is 65536")
	}
	time.Sleep(4 * time.Second) // config_apply_ms, and two seconds more
	sent, refused := 0, 0
	var all sync.WaitGroup
	for _, r := range f.routers {
		all.Go(func() {
			for i := range 100 {
				count := 2
				if i%5 == 0 && trouble {
					count = parts
				}
				var list []string
				for range count {
					list = append(list, fmt.Sprintf("%08x:%05d", rand.Uint32(), 1))
				}
				prefix := strings.Join(list, ",")
				id := fmt.Sprintf("%016x", rand.Uint64())
				got := r.do(request{method: "POST", path: "/code-check/x", key: "key-blue", id: id, body: "code of " + id, deadline: 3 * time.Second, header: map[string]string{
					wire["tokens"]: fmt.Sprintf("%d,25", count), wire["prefix"]: prefix,
				}})
				mu.Lock()
				sent++
				own := got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 && !ran[id]
				if own {
					refused++
				}
				if own || got.status != http.StatusOK || count > 2 {
					f.record.Notef("%s %s: %d bytes of headers, status %d, error %v; ran at an engine: %t", r.name, id, len(prefix)+250, got.status, got.err, ran[id])
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	f.record.Notef("%d requests sent, %d ended with a 3xx or 4xx of the routers; %d are allowed", sent, refused, 5+sent/500)
	return refused > 5+sent/500, nil
}
