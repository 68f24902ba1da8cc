//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

func init() { cases["options"] = playOptions }

// playOptions sends requests on a route that there is and, with trouble, requests about no path at all, to which no
// route can lead.
func playOptions(f *fleet, trouble bool) (bool, error) {
	f.store.Put("config", "main", f.config(3))
	for i := range 3 {
		_, err := f.addEngine(fmt.Sprint("i-", i), "app", zoneNames[i], 6, func(e *engine, conn net.Conn, r *http.Request, _ string) bool {
			f.record.Notef("%s runs %s %s", e.id, r.Method, r.RequestURI)
			return e.answer(conn, r, "200 OK", e.stamp(r), "entered")
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
	foreign := 0
	for n := range 20 {
		r := f.routers[n%len(f.routers)]
		targets := []string{"GET /clock-out/x"}
		if trouble {
			targets = append(targets, "OPTIONS *")
		}
		for _, target := range targets {
			conn, err := net.Dial("tcp", r.front())
			if err != nil {
				return false, err
			}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: h.example\r\n%s: %016x\r\n%s: 1000\r\nAuthorization: Bearer key-red\r\n\r\n", target, wire["attempt"], rand.Uint64(), wire["deadline"])
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return false, err
			}
			body, _ := io.ReadAll(resp.Body)
			_ = conn.Close()
			stamp := resp.Header.Get(wire["stamp"])
			f.record.Notef("%s %s: status %d, signature %q, body %q", r.name, target, resp.StatusCode, stamp, body)
			if resp.StatusCode/100 == 2 && stamp == "" {
				foreign++
			}
		}
	}
	f.record.Notef("%d successes without an engine's signature", foreign)
	return foreign > 0, nil
}
