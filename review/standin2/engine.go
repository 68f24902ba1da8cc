//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// engine is a stand-in of a backend server. handle answers one request whose body has been read and reports whether
// the connection can be used again.
type engine struct {
	id, service, zone string
	slots             int
	born              int64
	ln                net.Listener
	handle            func(e *engine, conn net.Conn, r *http.Request, body string) bool
	mu                sync.Mutex
	conns             map[net.Conn]bool
	stop              chan struct{}
	isFull            func() bool // whether new connections are reset; nil: none are
}

// addEngine starts an engine and lists it. Its entry is renewed until it stops.
func (f *fleet) addEngine(id, service, zone string, slots int, handle func(*engine, net.Conn, *http.Request, string) bool) (*engine, error) {
	ln, err := net.Listen("tcp4", f.prefix+"200:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), ln: ln, handle: handle, conns: make(map[net.Conn]bool), stop: make(chan struct{})}
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	go e.accept()
	e.list(f)
	return e, nil
}

// list writes the engine's entry, which changes only when more than its sequence does.
func (e *engine) list(f *fleet) {
	f.store.Put("servers", e.id, map[string]any{
		"service": e.service, "address": e.ln.Addr().String(), "zone": e.zone, "version": "1", "slots": e.slots, "state": "ready",
		wire["cold"]: 0, "sequence": 1, "born": e.born,
	})
}

func (e *engine) accept() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		isFull := e.isFull
		e.mu.Unlock()
		if isFull != nil && isFull() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go func() {
			defer func() {
				e.mu.Lock()
				delete(e.conns, conn)
				e.mu.Unlock()
				_ = conn.Close()
			}()
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil || !e.serve(conn, r, string(body)) {
					return
				}
			}
		}()
	}
}

func (e *engine) serve(conn net.Conn, r *http.Request, body string) bool {
	if want := r.Header.Get(wire["expect"]); want != "" && want != e.id {
		return e.answer(conn, r, "421 Misdirected Request", "", "")
	}
	if r.URL.Path == wire["reportPath"] {
		text := fmt.Sprintf(`{"phase":"combined","models":[{"name":"m","version":1,"adapters":[]}],"utilization":false,"sequence":1,"queued":0,"active":1,"kv_used":0,"kv_total":511815,"prefix_handles":0,"born":%d}`, e.born)
		return e.answer(conn, r, "200 OK", "Content-Type: application/json\r\n", text)
	}
	if r.URL.Path == "/healthz" {
		return e.answer(conn, r, "200 OK", "Instance-Id: "+e.id+"\r\n", "")
	}
	return e.handle(e, conn, r, body)
}

// answer writes a whole answer.
func (e *engine) answer(conn net.Conn, r *http.Request, status, extra, body string) bool {
	id := ""
	if value := r.Header.Get(wire["attempt"]); value != "" {
		id = wire["attempt"] + ": " + value + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
	return err == nil
}

func (e *engine) stamp(r *http.Request) string {
	return wire["stamp"] + ": " + e.id + "." + r.Header.Get(wire["attempt"]) + "\r\n"
}

// beginStream writes the head of a stream in chunks.
func (e *engine) beginStream(conn net.Conn, r *http.Request) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", wire["attempt"], r.Header.Get(wire["attempt"]), e.stamp(r))
	return err
}

func writeChunk(conn net.Conn, text string) error {
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// stream writes a whole stream of events.
func (e *engine) stream(conn net.Conn, r *http.Request, events int, pause time.Duration) bool {
	if e.beginStream(conn, r) != nil {
		return false
	}
	for i := 1; i <= events; i++ {
		time.Sleep(pause)
		if writeChunk(conn, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, r.Header.Get(wire["attempt"]), i)) != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stop:
		return
	default:
		close(e.stop)
	}
	_ = e.ln.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
}
