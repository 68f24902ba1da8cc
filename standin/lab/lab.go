package lab

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/settings"
	"github.com/croftvale/croftvale/standin/platformd"
	"github.com/croftvale/croftvale/tomlfile"
)

// Ports that every process of a lab uses on its own IP number.
const (
	portListen = 8080
	portLinks  = 7000
	portServe  = 7001
	portAdmin  = 9090
	portServer = 8000
)

const operator = "lab"

// Config says where a lab keeps its files and finds its programs.
type Config struct {
	Dir      string // settings and logs
	Bin      string // folder with croftvaled
	Program  string // the daemon's file name; "croftvaled" where empty
	LogLevel string
	Drain    time.Duration
	Poll     time.Duration // between two reads of the host list
	Env      []string      // more environment for the processes
	Keys     *Authority    // TLS between the processes; plain where nil
}

// Lab is a fleet on one machine.
type Lab struct {
	Platform *platformd.Platform

	cfg      Config
	subnet   int
	hosts    int
	key      ed25519.PrivateKey
	mu       sync.Mutex
	procs    map[string]*Process
	servers  []bundle.Server
	https    []*http.Server
	platAddr string
}

// New starts a lab with a platform and nothing else.
func New(cfg Config) (*Lab, error) {
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make key")
	}
	l := &Lab{
		Platform: platformd.New(),
		cfg:      cfg,
		subnet:   20 + os.Getpid()%200,
		key:      key,
		procs:    map[string]*Process{},
	}
	l.platAddr = l.address(l.nextIP(0), portServer)
	if err := l.serve(l.platAddr, l.Platform); err != nil {
		return nil, err
	}
	return l, nil
}

// nextIP returns an IP number that no other process of the lab has. The third
// part tells the hall, so that a dialler can put a delay between halls.
func (l *Lab) nextIP(hall int) string {
	l.hosts++
	return fmt.Sprintf("127.%d.%d.%d", l.subnet, hall*8+l.hosts/250, 1+l.hosts%250)
}

func (l *Lab) address(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(port))
}

// serve runs a stand-in in this process.
func (l *Lab) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for stand-in")
	}
	hs := &http.Server{Handler: h}
	l.https = append(l.https, hs)
	go func() { _ = hs.Serve(ln) }()
	return nil
}

// PlatformAddress returns where the stand-in platform answers.
func (l *Lab) PlatformAddress() string { return l.platAddr }

// Server is a backend server of a lab.
type Server struct {
	Name    fleet.Name
	Hall    int
	Slots   int
	Works   []fleet.Work
	Handler http.Handler
}

// HallName names the halls of a lab: a, b, c and so on.
func HallName(n int) fleet.Hall { return fleet.Hall(string(rune('a' + n))) }

// AddServer starts a stand-in server and the agent beside it.
func (l *Lab) AddServer(s Server) error {
	ip := l.nextIP(s.Hall)
	if err := l.serve(l.address(ip, portServer), s.Handler); err != nil {
		return err
	}
	l.servers = append(l.servers, bundle.Server{
		Name: s.Name, Hall: HallName(s.Hall), Slots: s.Slots, Works: s.Works,
		Agent:   addr(l.address(ip, portLinks)),
		Serve:   addr(l.address(ip, portServe)),
		Address: addr(l.address(ip, portServer)),
	})
	conf := settings.Agent{
		Process: l.process(s.Name, "agent", HallName(s.Hall), ip),
		Links:   addr(l.address(ip, portLinks)),
		Serve:   addr(l.address(ip, portServe)),
	}
	return l.add("agent", s.Name, ip, conf)
}

// AddRouter starts a router. The platform's list of hosts follows.
func (l *Lab) AddRouter(name fleet.Name, hall int) error {
	ip := l.nextIP(hall)
	conf := settings.Router{
		Process: l.process(name, "router", HallName(hall), ip),
		Listen:  addr(l.address(ip, portListen)),
		Links:   addr(l.address(ip, portLinks)),
		Platform: settings.Platform{
			Address: addr(l.platAddr),
			Watch:   len(l.Routers()) < 2,
			Poll:    tomlfile.Duration(l.cfg.Poll),
		},
	}
	if err := l.add("router", name, ip, conf); err != nil {
		return err
	}
	l.ListHosts()
	return nil
}

func (l *Lab) process(name fleet.Name, role string, hall fleet.Hall, ip string) settings.Process {
	public := l.key.Public().(ed25519.PublicKey)
	return settings.Process{
		TLS:  l.issue(name, role),
		Name: name, Hall: hall,
		Admin:     addr(l.address(ip, portAdmin)),
		Operators: []settings.Operator{{Name: operator, Key: base64.StdEncoding.EncodeToString(public)}},
		Signoffs:  1,
		Log:       settings.Log{Level: l.cfg.LogLevel},
		Drain:     tomlfile.Duration(l.cfg.Drain),
	}
}

// issue returns a process's keys, or none where the lab has no authority. Where
// they can't be written the process says so when it starts.
func (l *Lab) issue(name fleet.Name, role string) settings.TLS {
	if l.cfg.Keys == nil {
		return settings.TLS{}
	}
	t, err := l.cfg.Keys.Issue(name, role, time.Now().Add(time.Hour))
	if err != nil {
		return settings.TLS{Cert: err.Error()}
	}
	return t
}

// add writes a process's settings and starts it.
func (l *Lab) add(role string, name fleet.Name, ip string, conf any) error {
	text, err := settings.Marshal(conf)
	if err != nil {
		return err
	}
	path := filepath.Join(l.cfg.Dir, string(name)+".toml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	program := l.cfg.Program
	if program == "" {
		program = "croftvaled"
	}
	p := &Process{
		Name: name, Role: role, IP: ip, env: l.cfg.Env,
		argv: []string{filepath.Join(l.cfg.Bin, program), role, "--settings", path},
		log:  filepath.Join(l.cfg.Dir, string(name)+".log"),
	}
	l.mu.Lock()
	l.procs[string(name)] = p
	l.mu.Unlock()
	return p.Start()
}

// Process returns a process by name.
func (l *Lab) Process(name fleet.Name) *Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.procs[string(name)]
}

// Close ends every process and stand-in that the lab started.
func (l *Lab) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.procs {
		p.Kill()
	}
	for _, hs := range l.https {
		_ = hs.Close()
	}
}

func addr(s string) tomlfile.Address {
	return tomlfile.Address{AddrPort: netip.MustParseAddrPort(s)}
}
