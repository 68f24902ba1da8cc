package platformd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftvale/croftvale/objectapi"
	"golang.org/x/time/rate"
)

// Limits of the platform, in calls a second.
const (
	WritesPerSecond = 100
	ReadsPerSecond  = 2000
)

// Platform is the stand-in. It keeps everything in memory.
type Platform struct {
	mu      sync.Mutex
	objects map[objectapi.Ref]objectapi.Object
	last    objectapi.Version
	changed chan struct{} // closed and replaced at every write
	hosts   []hostAt
	hostLag time.Duration

	reads, writes *rate.Limiter
	readCount     atomic.Int64
	writeCount    atomic.Int64
	outage        atomic.Bool
	loseReplies   atomic.Int64 // number of writes whose reply is lost from now on
	delay         atomic.Int64 // nanoseconds added to every call
	mux           *http.ServeMux
}

// hostAt is a state of the host list and when it came.
type hostAt struct {
	at    time.Time
	hosts []objectapi.Host
}

// New returns a platform without objects or hosts.
func New() *Platform {
	p := &Platform{
		objects: map[objectapi.Ref]objectapi.Object{},
		changed: make(chan struct{}),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		mux:     http.NewServeMux(),
	}
	p.mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.put)
	p.mux.HandleFunc("GET /v1/hosts", p.getHosts)
	return p
}

// SetOutage makes every call fail, and ends waiting watches, until unset.
func (p *Platform) SetOutage(on bool) {
	p.outage.Store(on)
	p.wake()
}

// LoseReplies lets the next n writes take effect and loses their replies.
func (p *Platform) LoseReplies(n int64) { p.loseReplies.Store(n) }

// SetDelay slows every call down.
func (p *Platform) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetHostLag sets how far the list of hosts is behind.
func (p *Platform) SetHostLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostLag = d
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []objectapi.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, hostAt{time.Now(), hosts})
}

// Calls returns how many reads and writes were asked for.
func (p *Platform) Calls() (reads, writes int64) {
	return p.readCount.Load(), p.writeCount.Load()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(p.delay.Load()))
	if p.outage.Load() {
		panic(http.ErrAbortHandler) // as if nobody were there
	}
	budget, count := p.reads, &p.readCount
	if r.Method == http.MethodPut {
		budget, count = p.writes, &p.writeCount
	}
	count.Add(1)
	if !budget.Allow() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	p.mux.ServeHTTP(w, r)
}

func refOf(r *http.Request) objectapi.Ref {
	return objectapi.Ref{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

// get reads an object; with after and wait it is a watch.
func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.After(wait)
	for {
		obj, changed, ok := p.object(refOf(r))
		if ok && obj.Version > objectapi.Version(after) {
			w.Header().Set("ETag", etag(obj.Version))
			_, _ = w.Write(obj.Body)
			return
		}
		if wait == 0 {
			http.NotFound(w, r)
			return
		}
		select {
		case <-changed:
		case <-end:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
		if p.outage.Load() {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) object(ref objectapi.Ref) (objectapi.Object, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	obj, ok := p.objects[ref]
	return obj, p.changed, ok
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectapi.MaxObjectBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	v, ok := p.write(refOf(r), body, r.Header)
	if !ok {
		http.Error(w, "the object is at another version", http.StatusPreconditionFailed)
		return
	}
	if p.loseReplies.Add(-1) >= 0 {
		panic(http.ErrAbortHandler) // written, but nobody hears of it
	}
	w.Header().Set("ETag", etag(v))
	w.WriteHeader(http.StatusOK)
}

// write applies a conditional write.
func (p *Platform) write(ref objectapi.Ref, body []byte, h http.Header) (objectapi.Version, bool) {
	p.mu.Lock()
	obj, exists := p.objects[ref]
	ok := true
	if h.Get("If-None-Match") == "*" {
		ok = !exists
	}
	if m := h.Get("If-Match"); m != "" {
		ok = exists && strings.Trim(m, `"`) == fmt.Sprint(uint64(obj.Version))
	}
	if !ok {
		p.mu.Unlock()
		return 0, false
	}
	p.last++
	v := p.last
	p.objects[ref] = objectapi.Object{Ref: ref, Version: v, Body: body}
	p.mu.Unlock()
	p.wake()
	return v, true
}

// wake lets every watch look again.
func (p *Platform) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.listedHosts(time.Now()))
}

// listedHosts returns the list as it was a lag ago.
func (p *Platform) listedHosts(now time.Time) []objectapi.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := []objectapi.Host{}
	for _, h := range p.hosts {
		if now.Sub(h.at) >= p.hostLag {
			listed = h.hosts
		}
	}
	return listed
}

func etag(v objectapi.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }
