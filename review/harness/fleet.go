//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/croftvale/croftvale/platform/platformtest"
	"github.com/croftvale/croftvale/review/harness/data"
)

// Ports of the routers, which are the same on all machines: each has its own loopback address.
const (
	portFront   = 18783
	portReady   = 18780
	portControl = 18785
	portPeers   = 17400
	// farOffset is added to the ports for other routers of a machine behind a link.
	farOffset = 200
)

// Services of the engines: model engines and those of the application.
const (
	service    = "pool"
	appService = "league-app"
)

// fleet is a store and engines in this process, and routers in processes of their own.
type fleet struct {
	dir      string
	daemon   string
	prefix   string
	store    *platformtest.Store
	record   *recorder
	mu       sync.Mutex
	engines  []*platformtest.Engine
	routers  []*router
	restarts bool // the whole fleet has started before
	closers  []func()
	starting sync.Mutex // held while a process starts
	closed   bool       // no process may start any more
}

// router is one machine with its process.
type router struct {
	fleet    *fleet
	name     string
	ip       string
	zone     string
	store    *proxy // this machine's way to the store
	link     *link  // nil: the machine reaches the others directly
	settings string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	log      bytes.Buffer
	starts   []time.Time
	kills    []time.Time
	ownEnds  int // ends of the process that nobody asked for
}

func newFleet(daemon string, rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "croftvale-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, daemon: daemon, record: rec, store: platformtest.NewStore()}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		if isFree(f.prefix + "1") {
			break
		}
	}
	f.store.Put("config", "main", json.RawMessage(data.Config))
	return f, nil
}

func isFree(ip string) bool {
	for _, port := range []int{portFront, portReady, portControl, portPeers, portControl + farOffset, portPeers + farOffset} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addEngine starts an engine and registers it. edit may change it before.
func (f *fleet) addEngine(id, zone, version string, edit func(*platformtest.Engine)) *platformtest.Engine {
	e := platformtest.NewEngine(id, service)
	e.Zone, e.Version, e.Slots, e.NameEvents = zone, version, 48, true
	edit(e)
	f.mu.Lock()
	f.engines = append(f.engines, e)
	f.mu.Unlock()
	f.store.Put("servers", id, e.Entry())
	f.record.add("platform engine %s of version %s starts", id, version)
	return e
}

// allEngines returns the engines so far.
func (f *fleet) allEngines() []*platformtest.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engines)
}

// addRouter adds a machine. Behind a link, everything between it and the other machines can be cut.
func (f *fleet) addRouter(zone string, linked bool) (*router, error) {
	n := len(f.routers) + 1
	r := &router{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, n), ip: fmt.Sprint(f.prefix, n), zone: zone}
	r.settings = filepath.Join(f.dir, r.name+".toml")
	var err error
	if r.store, err = newProxy("127.0.0.1:0", f.store.Address); err != nil {
		return nil, err
	}
	f.closers = append(f.closers, r.store.close)
	if linked {
		r.link = &link{}
	}
	f.routers = append(f.routers, r)
	return r, nil
}

// offset returns what is added to the ports on which a machine and its peers talk.
func (r *router) offset() int {
	if r.link != nil {
		return farOffset
	}
	return 0
}

func (r *router) writeSettings() error {
	t, err := template.New("settings").Parse(data.Settings)
	if err != nil {
		return err
	}
	var seeds []string
	for _, other := range r.fleet.routers[:min(3, len(r.fleet.routers))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, portControl+r.offset())))
	}
	var text bytes.Buffer
	err = t.Execute(&text, map[string]any{
		"Name": r.name, "IP": r.ip, "Zone": r.zone, "Ports": portPeers + r.offset(), "LastPort": portPeers + r.offset() + 15,
		"Seeds": strings.Join(seeds, ","), "FirstStart": !r.fleet.restarts,
		"Front": portFront, "Ready": portReady, "Control": portControl + r.offset(), "Store": r.store.Address,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings, text.Bytes(), 0o600)
}

// start starts the process of a machine as the deploy file says.
func (r *router) start() error {
	if err := r.writeSettings(); err != nil {
		return err
	}
	cmd := exec.Command(r.fleet.daemon, "gateway")
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Env = append(cmd.Env, names.SettingsVariable+"="+r.settings)
	cmd.Stdout, cmd.Stderr = r, r
	r.fleet.starting.Lock()
	defer r.fleet.starting.Unlock()
	if r.fleet.closed {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.fleet.record.add("platform %s starts", r.name)
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended = cmd, ended
	r.starts = append(r.starts, time.Now())
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (r *router) kill() {
	r.mu.Lock()
	cmd, ended := r.cmd, r.ended
	r.kills = append(r.kills, time.Now())
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
	r.fleet.record.add("platform %s is killed", r.name)
}

// restartEnded starts processes again, after a short delay, that end by themselves, until the returned
// function is called.
func (f *fleet) restartEnded() (stop func()) {
	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, r := range f.routers {
		watchers.Go(func() {
			for {
				r.mu.Lock()
				ended := r.ended
				r.mu.Unlock()
				select {
				case <-done:
					return
				case <-ended:
				}
				if r.restart() != nil {
					return
				}
			}
		})
	}
	return func() {
		close(done)
		watchers.Wait()
	}
}

// restartDelay is the time from the end of a process until it is started again.
const restartDelay = 500 * time.Millisecond

// restart starts a process that has ended by itself.
func (r *router) restart() error {
	r.mu.Lock()
	r.ownEnds++
	state, reason := r.cmd.ProcessState.String(), r.lastPanic()
	r.mu.Unlock()
	r.fleet.record.add("process  %s has ended by itself: %s: %s", r.name, state, reason)
	time.Sleep(restartDelay)
	return r.start()
}

// lastPanic returns the last line about a panic, and where it was. r.mu must be held.
func (r *router) lastPanic() string {
	text := r.log.String()
	i := strings.LastIndex(text, "panic: ")
	if i < 0 {
		return "no panic"
	}
	lines := strings.Split(text[i:], "\n")
	out := lines[0]
	for _, line := range lines {
		if strings.Contains(line, "croftvale/croftvale/") {
			return out + " in " + line
		}
	}
	return out
}

// endedByItself returns how often the process ended though nobody asked for that.
func (r *router) endedByItself() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownEnds
}

// disturbedWithin reports whether the process was started or killed in the given time before a
// moment.
func (r *router) disturbedWithin(at time.Time, span time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	near := func(t time.Time) bool { return !t.After(at) && at.Sub(t) <= span }
	return slices.ContainsFunc(r.starts, near) || slices.ContainsFunc(r.kills, near)
}

// Write appends to the log.
func (r *router) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(p)
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether the machine says that it takes clients.
func (r *router) ready() bool {
	resp, err := probeClient.Get(fmt.Sprintf("http://%s:%d%s", r.ip, portReady, names.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the machines say that they take clients.
func (f *fleet) awaitReady(limit time.Duration, routers ...*router) error {
	end := time.Now().Add(limit)
	for _, r := range routers {
		for !r.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s was not ready within %v", r.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// startAll starts all machines within a moment, and waits until they take clients.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if r.link == nil {
			continue
		}
		for _, other := range f.routers {
			if other != r {
				if err := r.link.connect(r, other); err != nil {
					return err
				}
			}
		}
		f.closers = append(f.closers, r.link.close)
	}
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	f.restarts = true
	return f.awaitReady(20*time.Second, f.routers...)
}

// close ends all that was started.
func (f *fleet) close() {
	f.starting.Lock()
	f.closed = true
	f.starting.Unlock()
	for _, r := range f.routers {
		if r.cmd != nil {
			_ = r.cmd.Process.Kill()
			<-r.ended
		}
	}
	for _, e := range f.allEngines() {
		e.Close()
	}
	for _, c := range f.closers {
		c()
	}
	f.store.Close()
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		for _, r := range f.routers {
			_ = os.WriteFile(filepath.Join(dir, r.name+".log"), r.log.Bytes(), 0o600)
		}
	}
	_ = os.RemoveAll(f.dir)
}
