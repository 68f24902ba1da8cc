//go:build review

// Command standin2 plays the cases of the second review: stand-ins of the store, the engines and the clients, and the
// project's own routers in processes of their own.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/croftvale/croftvale/platform/platformtest"
)

//go:embed wire.json
var wireData []byte

// wire holds the names of the platform that the stand-ins use.
var wire = func() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(wireData, &names); err != nil {
		panic(err)
	}
	return names
}()

const (
	// memoryMB is the memory of a machine of the small deployment.
	memoryMB = 134

	portFront   = 18783
	portReady   = 18780
	portControl = 18785
	portPeers   = 17400
)

// fleet is a store, engines and clients in this process, and routers in processes of their own.
type fleet struct {
	dir     string
	prefix  string // of all loopback addresses of the case
	store   *platformtest.Store
	routers []*router
	hasRun  bool
	record  *record
	mu      sync.Mutex
	engines []*engine
}

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// Notef writes one line with the time since the start.
func (r *record) Notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func newFleet(recordPath string) (*fleet, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	prefix := ""
	for {
		prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))
		ln, err := net.Listen("tcp4", fmt.Sprint(prefix, "1:", portFront))
		if err == nil {
			_ = ln.Close()
			break
		}
	}
	return &fleet{
		dir: dir, prefix: prefix, store: platformtest.NewStore(),
		record: &record{file: file, start: time.Now()},
	}, nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
	f.mu.Lock()
	engines := f.engines
	f.mu.Unlock()
	for _, e := range engines {
		e.close()
	}
	f.store.Close()
	_ = os.RemoveAll(f.dir)
	_ = f.record.file.Close()
}

// router is one router process.
type router struct {
	fleet   *fleet
	index   int
	name    string
	ip      string
	zone    string
	path    string // of its settings
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	logFile *os.File
}

var zoneNames = []string{"hal-utrecht", "hal-amersfoort", "hal-nieuwegein"}

// addRouter adds a router without starting it. All routers are added before the first starts, as the first three are
// the seeds.
func (f *fleet) addRouter() *router {
	n := len(f.routers) + 1
	r := &router{fleet: f, index: n, name: fmt.Sprint("edge-", n), ip: fmt.Sprint(f.prefix, n), zone: zoneNames[(n-1)%len(zoneNames)]}
	r.path = filepath.Join(f.dir, r.name+".toml")
	f.routers = append(f.routers, r)
	return r
}

func (r *router) writeSettings() error {
	f := r.fleet
	var seeds []string
	for _, other := range f.routers[:min(3, len(f.routers))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprint(other.ip, ":", portControl)))
	}
	text := fmt.Sprintf(`node_name = %q
role = "router"
machine_class = "edge"
serves = ["edge", "control"]
ip = %q
zone = %q
region = "nl-midden"
internal_ports = [%d, %d]
seeds = [%s]
bootstrap = %t
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
[zones]
hal-utrecht = "nl-midden"
hal-amersfoort = "nl-midden"
hal-nieuwegein = "nl-midden"
[listen]
front = "%s:%d"
ready = "%s:%d"
control_plane = "%s:%d"
[limits]
cpu_share = 0.304
cpu_cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recovery_s = 12
iteration_ms = 120
retry_after_s = 9
quota_window_s = 4
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, r.name, r.ip, r.zone, portPeers, portPeers+15, strings.Join(seeds, ", "), !f.hasRun,
		r.ip, portFront, r.ip, portReady, r.ip, portControl, memoryMB, f.store.Address)
	next := r.path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, r.path)
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	if err := r.writeSettings(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(r.fleet.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/croftvaled", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), wire["settingsVariable"] + "=" + r.path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended, r.logFile = cmd, ended, logFile
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	return nil
}

// kill ends the process at once.
func (r *router) kill() {
	r.mu.Lock()
	cmd, ended := r.cmd, r.ended
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

func (r *router) front() string { return fmt.Sprint(r.ip, ":", portFront) }

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprint("http://", r.ip, ":", portReady, wire["readyPath"]))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startAll starts all routers and waits until they are ready.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			if r.isReady() {
				ready++
			}
		}
		if ready == len(f.routers) {
			f.hasRun = true
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers are ready", ready, len(f.routers))
		}
	}
}

// reply is what a client got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// request is what a client sends.
type request struct {
	method, path, key, id, body string
	deadline                    time.Duration
	header                      map[string]string
	trace                       *httptrace.ClientTrace // nil: none
}

// do sends a request on a new connection and reads the whole answer.
func (r *router) do(q request) reply {
	start := time.Now()
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	return r.doWith(&http.Client{Transport: transport}, q, start)
}

func (r *router) doWith(client *http.Client, q request, start time.Time) (out reply) {
	defer func() { out.took = time.Since(start) }()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	if q.trace != nil {
		ctx = httptrace.WithClientTrace(ctx, q.trace)
	}
	hr, err := http.NewRequestWithContext(ctx, q.method, "http://"+r.front()+q.path, strings.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	hr.Host = "h.example"
	hr.Header.Set(wire["attempt"], q.id)
	hr.Header.Set(wire["deadline"], strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		hr.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		hr.Header.Set(name, value)
	}
	resp, err := client.Do(hr)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// config is the configuration of a deployment like the small one.
func (f *fleet) config(version int) map[string]any {
	route := func(name, kind, service string, timeout, objective, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", wire["type"]: kind, "timeout_ms": timeout, wire["objective"]: objective,
			"priority": 1, "service": service, "max_attempts": attempts, "anonymous": false, "sticky": service == "llm", "resumable": resumable, wire["pause"]: 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("week-review", "streaming", "llm", 15000, 800, 2, true),
			route("hour-query", "streaming", "llm", 12000, 400, 1, false),
			route("code-check", "streaming", "llm", 3000, 400, 2, true),
			route("clock-in", "non_idempotent", "app", 1000, 100, 2, false),
			route("clock-out", "idempotent", "app", 1000, 100, 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_connections": 370, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 511815, "stride": 5}},
			map[string]any{"name": "app", "health_path": "/healthz", "max_connections": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 280000 * 4},
		"tenants": []any{map[string]any{"name": "red", "api_keys": []string{"key-red"}}, map[string]any{"name": "blue", "api_keys": []string{"key-blue"}}},
	}
}
