package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/standin/record"
)

// Config sizes an engine.
type Config struct {
	Slots     int           // requests in one batch
	Step      time.Duration // time of one step: one token for every request of the batch
	Prefill   int           // steps that a prompt takes whose prefix is not cached
	CacheSize int           // prefixes remembered
	Account   *Account      // measures slot time by team; may be nil
}

// Fault is a way to misbehave.
type Fault int32

// The faults.
const (
	FaultNone  Fault = iota
	FaultSlow        // ten times the step time
	FaultHang        // no token ever
	FaultCut         // the connection closes in the middle of the answer
	FaultShort       // the stream ends cleanly, but before its end mark
	FaultDie         // every connection breaks, the probe's too
	FaultBusy        // requests are turned away, with the word to come back after BusyFor
)

const slowFactor = 10

// BusyFor is for how long an engine with FaultBusy asks for no requests.
const BusyFor = 2 * time.Second

// Engine is the stand-in; it implements http.Handler.
type Engine struct {
	cfg      Config
	recorder *record.Recorder
	batch    *batch
	fault    atomic.Int32
	busy     atomic.Int64 // nanoseconds of slot time
	cancels  atomic.Int64
	turned   atomic.Int64 // requests that were turned away
	mu       sync.Mutex
	cache    []string // prefixes, oldest first
}

// New returns an engine that is well.
func New(cfg Config, r *record.Recorder) *Engine {
	return &Engine{cfg: cfg, recorder: r, batch: newBatch(cfg.Slots)}
}

// SetFault makes the engine misbehave from now on.
func (e *Engine) SetFault(f Fault) { e.fault.Store(int32(f)) }

// Busy returns the slot time used so far.
func (e *Engine) Busy() time.Duration { return time.Duration(e.busy.Load()) }

// Cancels returns how many requests were given up by their caller.
func (e *Engine) Cancels() int64 { return e.cancels.Load() }

// TurnedAway returns how many requests were turned away.
func (e *Engine) TurnedAway() int64 { return e.turned.Load() }

// Running returns how many requests are in the batch.
func (e *Engine) Running() int { return e.batch.size() }

// ServeHTTP answers completions and the health probe.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if Fault(e.fault.Load()) == FaultDie {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/health":
		e.health(w, r)
	case "/v1/completions", "/v1/chat/completions":
		e.complete(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) health(w http.ResponseWriter, r *http.Request) {
	if Fault(e.fault.Load()) == FaultHang {
		<-r.Context().Done()
		return
	}
	_, _ = fmt.Fprintf(w, "{\"running\":%d}\n", e.Running())
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if Fault(e.fault.Load()) == FaultBusy {
		e.turned.Add(1)
		w.Header().Set("Retry-After", strconv.Itoa(int(BusyFor.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var req Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.recorder.Ran(req.Nonce)
	priority, _ := strconv.Atoi(r.Header.Get("X-Request-Priority"))
	if !e.batch.enter(r.Context(), priority) {
		e.cancels.Add(1)
		return
	}
	defer e.batch.leave()
	defer e.cfg.Account.begin(req.Nonce)()
	began := time.Now()
	defer func() { e.busy.Add(int64(time.Since(began))) }()
	e.steps(r, e.prefill(req.Prompt))
	if req.Stream {
		e.stream(w, r, req)
		return
	}
	e.whole(w, r, req)
}

// steps lets n steps pass; it returns false if the caller left.
func (e *Engine) steps(r *http.Request, n int) bool {
	step := e.cfg.Step
	switch Fault(e.fault.Load()) {
	case FaultSlow:
		step *= slowFactor
	case FaultHang:
		<-r.Context().Done()
	}
	t := time.NewTimer(step * time.Duration(n))
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-t.C:
		return true
	}
}

// prefill returns the steps that a prompt takes, and remembers its prefix.
func (e *Engine) prefill(prompt string) int {
	prefix, _, _ := strings.Cut(prompt, "|")
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.cache {
		if p == prefix {
			return 0
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.cfg.CacheSize {
		e.cache = e.cache[1:]
	}
	return e.cfg.Prefill
}

// whole answers in one piece.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, req Request) {
	if !e.steps(r, req.MaxTokens) {
		e.cancels.Add(1)
		return
	}
	out, err := json.Marshal(Answer{
		Object: "text_completion", Model: req.Model, User: req.Nonce,
		Choices: []Choice{{Text: strings.Repeat("tok ", req.MaxTokens)}},
		Usage:   Usage{CompletionTokens: req.MaxTokens},
	})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	if Fault(e.fault.Load()) == FaultCut {
		_, _ = w.Write(out[:len(out)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(out)
}

// stream answers token by token.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := range req.MaxTokens {
		if !e.steps(r, 1) {
			e.cancels.Add(1)
			return
		}
		fault := Fault(e.fault.Load())
		if fault == FaultDie || (i == req.MaxTokens/2 && fault == FaultCut) {
			panic(http.ErrAbortHandler)
		}
		if i == req.MaxTokens/2 && fault == FaultShort {
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"user\":%q,\"choices\":[{\"text\":\"tok%d \"}]}\n\n", req.Nonce, i)
		_ = rc.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
