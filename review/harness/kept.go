//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// keptClient sends requests, one after the other, on a connection that it keeps.
type keptClient struct {
	id     string
	route  string // "once" or "safe"
	to     *router
	record *recorder
	conn   net.Conn
	reader *bufio.Reader
	onConn int // requests answered on the connection
	sent   int

	mu   sync.Mutex
	lost []lostRequest
	done int
}

// lostRequest is a request on a kept connection that ended without an answer.
type lostRequest struct {
	id   string
	sent time.Time
	end  time.Time
}

// run sends requests until the time is over.
func (c *keptClient) run(until time.Time) {
	for time.Now().Before(until) {
		if c.conn == nil && !c.connect() {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.send()
		time.Sleep(time.Duration(rand.IntN(80)) * time.Millisecond)
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func (c *keptClient) connect() bool {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.to.ip, portFront), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.onConn = conn, bufio.NewReader(conn), 0
	return true
}

// deadlineOf is how long a client waits for an answer.
const deadlineOf = 3 * time.Second

func (c *keptClient) send() {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.id, c.sent)
	method, body := http.MethodPost, "order of "+id
	if c.route == "safe" {
		method, body = http.MethodGet, ""
	}
	head := fmt.Sprintf("%s /%s/page HTTP/1.1\r\nHost: league.example\r\n%s: %s\r\n%s: %d\r\nTest-Router: %s\r\n", method, c.route, names.AttemptID, id, names.Deadline, deadlineOf.Milliseconds(), c.to.name)
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	sent, kept := time.Now(), c.onConn > 0
	_ = c.conn.SetDeadline(sent.Add(deadlineOf))
	_, err := io.WriteString(c.conn, head+"\r\n"+body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
		c.record.addAt(sent, "client   id=%s to=%s kept=%v", id, c.to.name, kept)
		c.record.add("answer   id=%s from=%s none: %v", id, c.to.name, shorten(err))
		if kept && !strings.Contains(err.Error(), "timeout") {
			c.mu.Lock()
			c.lost = append(c.lost, lostRequest{id, sent, time.Now()})
			c.mu.Unlock()
		}
		return
	}
	c.onConn++
	c.mu.Lock()
	c.done++
	c.mu.Unlock()
	c.record.addAt(sent, "client   id=%s to=%s kept=%v status=%d after=%v", id, c.to.name, kept, resp.StatusCode, time.Since(sent).Round(time.Millisecond))
	if resp.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
}
