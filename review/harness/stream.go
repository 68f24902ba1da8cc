//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientStream is a stream as one client gets it, over all its tries.
type clientStream struct {
	id       string // of the first try, and the start of those of later ones
	key      string
	path     string
	prompt   string
	deadline time.Time
	record   *recorder

	mu       sync.Mutex
	tries    int
	origin   string   // the try that brought the first event
	events   []string // whence each event came: engine and version
	lastID   string   // of the last event
	finished bool
	status   int
	retryIn  time.Duration // as the last refusal says
	broken   chan struct{} // closed when the answer to the first try has ended
}

// newClient returns a client that opens a connection for each request. A connection is allowed one
// second to come up.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
}

var client = newClient()

func newStream(rec *recorder, id, prompt string, timeout time.Duration) *clientStream {
	return &clientStream{id: id, key: "key-one-1", path: "/report/stream", prompt: prompt, deadline: time.Now().Add(timeout), record: rec, broken: make(chan struct{})}
}

// attempt asks a machine for the rest of the stream and reads until the answer ends. onEvent is
// called after each event with their number.
func (s *clientStream) attempt(r *router, onEvent func(n int)) {
	s.mu.Lock()
	s.tries++
	id := fmt.Sprintf("%s-try%d", s.id, s.tries)
	origin, last := s.origin, s.lastID
	s.status, s.retryIn = 0, 0
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", r.ip, portFront, s.path), strings.NewReader("prompt of "+s.id))
	if err != nil {
		panic(err)
	}
	req.Host = "league.example"
	h := req.Header
	h.Set(names.AttemptID, id)
	h.Set(names.Deadline, strconv.FormatInt(max(time.Until(s.deadline).Milliseconds(), 1), 10))
	h.Set("Authorization", "Bearer "+s.key)
	h.Set("Model", "m")
	h.Set(names.TokenCount, "300,200")
	h.Set(names.PromptPrefix, s.prompt)
	h.Set("Test-Router", r.name)
	if origin != "" {
		h.Set(names.Resumes, origin)
		h.Set(names.LastEventID, last)
	}
	s.record.add("client   id=%s to=%s resumes=%q after=%q", id, r.name, origin, last)
	resp, err := client.Do(req)
	if err != nil {
		s.record.add("answer   id=%s from=%s none: %v", id, r.name, shorten(err))
		return
	}
	defer resp.Body.Close()
	s.mu.Lock()
	s.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		s.retryIn = time.Duration(seconds * float64(time.Second))
	}
	s.mu.Unlock()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		s.record.add("answer   id=%s from=%s status=%d %s", id, r.name, resp.StatusCode, strings.TrimSpace(string(body)))
		return
	}
	before := len(s.events)
	s.read(resp.Body, id, onEvent)
	s.record.add("answer   id=%s from=%s status=200 events=%d of=%s finished=%v", id, r.name, len(s.events)-before, strings.Join(runsOf(s.events[before:]), ","), s.finished)
}

func shorten(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// read reads whole events until the answer ends.
func (s *clientStream) read(body io.Reader, attempt string, onEvent func(n int)) {
	reader := bufio.NewReader(body)
	var id, from string
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			s.mu.Lock()
			s.finished = err == io.EOF && line == ""
			s.mu.Unlock()
			return
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			_, from, _ = strings.Cut(line, " from ")
		case line == "":
			s.mu.Lock()
			if s.origin == "" {
				s.origin = attempt
			}
			s.events, s.lastID = append(s.events, from), id
			n := len(s.events)
			s.mu.Unlock()
			onEvent(n)
		}
	}
}

// runsOf returns the engines and versions of events, without repetition.
func runsOf(events []string) []string {
	var out []string
	for _, e := range events {
		if e = strings.ReplaceAll(e, " ", "/"); len(out) == 0 || out[len(out)-1] != e {
			out = append(out, e)
		}
	}
	return out
}

// versions returns the software versions of the engines whose events the client got.
func (s *clientStream) versions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int)
	for _, e := range s.events {
		_, version, _ := strings.Cut(e, " ")
		out[version]++
	}
	return out
}

// begun returns the number of events so far.
func (s *clientStream) begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

func (s *clientStream) isFinished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished
}

// wait returns how long the client waits before its next try: as told, up to a third of the time
// that it has left.
func (s *clientStream) wait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.retryIn, time.Until(s.deadline)/3)
}
