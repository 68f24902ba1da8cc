package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/bundle"
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/tomlfile"
)

// DefaultDrain is how long a leaving process waits for what runs.
const DefaultDrain = 10 * time.Minute

// Process is what routers and agents have in common.
type Process struct {
	Name      fleet.Name        `toml:"name"`
	Hall      fleet.Hall        `toml:"hall"`
	Admin     tomlfile.Address  `toml:"admin"` // /metrics, /healthz, /readyz, /state
	Operators []Operator        `toml:"operators"`
	Signoffs  int               `toml:"signoffs"` // sign-offs that a bundle needs
	TLS       TLS               `toml:"tls"`
	Log       Log               `toml:"log"`
	Drain     tomlfile.Duration `toml:"drain"` // longest wait for what runs after SIGTERM
}

// TLS says where the process's keys are. Without them connections between
// processes are plain, which suits a lab only.
type TLS struct {
	Cert      string `toml:"cert"`      // PEM certificate; its common name is the process's name
	Key       string `toml:"key"`       // PEM private key
	Authority string `toml:"authority"` // PEM certificate of the fleet's authority
}

// On tells whether keys are set.
func (t TLS) On() bool { return t != TLS{} }

// Operator is a person whose orders are obeyed.
type Operator struct {
	Name string `toml:"name"`
	Key  string `toml:"key"` // ed25519 public key, base64
}

// Log sets what is logged.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error
}

// Platform says where the platform's object API is.
type Platform struct {
	Address tomlfile.Address  `toml:"address"`
	Watch   bool              `toml:"watch"` // watch the bundle pointer; set on a few routers
	Poll    tomlfile.Duration `toml:"poll"`  // time between two reads of the host list
}

// Router is the settings of a router.
type Router struct {
	Process
	Listen   tomlfile.Address   `toml:"listen"` // callers
	Links    tomlfile.Address   `toml:"links"`  // control links from other routers
	Peers    []tomlfile.Address `toml:"peers"`  // control addresses of routers to ask for a first bundle
	Platform Platform           `toml:"platform"`
}

// Agent is the settings of an agent.
type Agent struct {
	Process
	Links tomlfile.Address `toml:"links"` // control links from routers
	Serve tomlfile.Address `toml:"serve"` // granted requests from routers
}

// LoadRouter reads and checks the settings of a router.
func LoadRouter(path string) (Router, error) {
	var s Router
	f, err := load(path, &s)
	if err != nil {
		return Router{}, err
	}
	checkProcess(f, s.Process)
	need(f, "listen", s.Listen)
	need(f, "links", s.Links)
	need(f, "platform.address", s.Platform.Address)
	return s, f.Err()
}

// LoadAgent reads and checks the settings of an agent.
func LoadAgent(path string) (Agent, error) {
	var s Agent
	f, err := load(path, &s)
	if err != nil {
		return Agent{}, err
	}
	checkProcess(f, s.Process)
	need(f, "links", s.Links)
	need(f, "serve", s.Serve)
	return s, f.Err()
}

func load(path string, v any) (*tomlfile.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrapf(err, "read settings %s; give the path of a readable TOML file with --settings", path)
	}
	return tomlfile.Decode(path, data, v)
}

var logLevels = map[string]bool{"": true, "debug": true, "info": true, "warn": true, "error": true}

func checkProcess(f *tomlfile.File, p Process) {
	if p.Name == "" {
		f.Add("name", `""`, "give the process a name that no other has")
	}
	if p.Hall == "" {
		f.Add("hall", `""`, "name the data hall that the host stands in")
	}
	need(f, "admin", p.Admin)
	if !logLevels[p.Log.Level] {
		f.Add("log.level", p.Log.Level, `write "debug", "info", "warn" or "error"`)
	}
	if len(p.Operators) == 0 {
		f.Add("operators", "none", `add an [[operators]] table with a name and the public key from "croftvale keys new"`)
	}
	if p.Signoffs < 0 || p.Signoffs > len(p.Operators) {
		f.Add("signoffs", p.Signoffs, "write a number from 0 to the number of operators")
	}
	checkTLS(f, p.TLS)
	for i, o := range p.Operators {
		if _, err := publicKey(o.Key); err != nil {
			f.Add(fmt.Sprintf("operators[%d].key", i), o.Key, err.Error())
		}
	}
}

func checkTLS(f *tomlfile.File, t TLS) {
	if !t.On() {
		return
	}
	for _, file := range []struct{ key, path string }{
		{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.authority", t.Authority},
	} {
		if _, err := os.Stat(file.path); err != nil {
			f.Add(file.key, fmt.Sprintf("%q", file.path), "give the path of a readable PEM file; cert, key and authority go together")
		}
	}
}

func need(f *tomlfile.File, key string, a tomlfile.Address) {
	if !a.IsValid() {
		f.Add(key, `""`, tomlfile.ErrAddress.Error())
	}
}

// ErrPublicKey means that a public key can't be read.
var ErrPublicKey = errors.New(`not a public key; copy the "public" line that "croftvale keys new" printed`)

func publicKey(s string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, ErrPublicKey
	}
	return raw, nil
}

// Verifier returns what the process checks orders with.
func (p Process) Verifier() bundle.Verifier {
	ops := bundle.Operators{}
	for _, o := range p.Operators {
		key, err := publicKey(o.Key)
		if err == nil { // checked by Load
			ops[o.Name] = key
		}
	}
	return bundle.Verifier{Operators: ops, MinSignoffs: p.Signoffs}
}
