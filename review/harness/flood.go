//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryMB is memory_mb in the settings: the platform kills a process that goes over it.
	memoryMB = 284
	// floodMB is how much a faulty engine sends that forms no answer.
	floodMB = 400
)

// headFlood has one engine send bytes that form no answer: a status line without an end. It measures
// the memory of the routers and kills none. No folder of the review holds this case; see REPORT.md.
func headFlood(f *fleet, t trouble) (bool, string, error) {
	if err := newMachines(f, false); err != nil {
		return false, "", err
	}
	addVersion(f, "v1", 0, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, "", err
	}
	defer l.Close()
	go serveFlood(l)
	if t.on() {
		f.store.Put("servers", "i-faulty", map[string]any{
			"service": service, "address": l.Addr().String(), "zone": zoneA, "version": "v1", "slots": 48, "state": "ready", names.ColdRemaining: 0, "sequence": 1,
		})
	}
	if err := f.startAll(); err != nil {
		return false, "", err
	}
	until := time.Now().Add(12 * time.Second)
	load := partLoad(f, "s", "f1:100,c1:100", 50*time.Millisecond, until)
	most := make(map[string]int)
	for time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
		for _, r := range f.routers {
			most[r.name] = max(most[r.name], r.residentMB())
		}
	}
	load.Wait()
	over := 0
	for _, mb := range most {
		if mb > memoryMB {
			over++
		}
	}
	return over > 0, fmt.Sprintf("%d of %d processes went over memory_mb = %d, for which the platform kills them; most MB by machine: %v", over, len(f.routers), memoryMB, most), nil
}

// serveFlood reads a request on each connection, and sends bytes without a line end.
func serveFlood(l net.Listener) {
	block := []byte(strings.Repeat("x", 1<<20))
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			for range floodMB {
				if _, err := conn.Write(block); err != nil {
					return
				}
			}
		}()
	}
}

// residentMB returns the resident memory of the process.
func (r *router) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}
