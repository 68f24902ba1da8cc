package direct

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table looks up routes, teams and services of a configuration.
type Table struct {
	Config   Config
	hosts    map[string]map[string]*Route // by host, then prefix
	teams    map[string]*Team             // by key
	services map[string]*Service
	routes   map[string]bool // by name
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		Config:   c,
		hosts:    make(map[string]map[string]*Route),
		teams:    make(map[string]*Team),
		services: make(map[string]*Service, len(c.Services)),
		routes:   make(map[string]bool, len(c.Routes)),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[r.Name] = true
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = make(map[string]*Route)
		}
		t.hosts[r.Host][r.Prefix] = r
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// HasRoute reports whether there is a route with the name.
func (t *Table) HasRoute(name string) bool { return t.routes[name] }

// Route returns the route of the host with the longest prefix of the path, or nil. It makes one
// lookup per slash in the path.
func (t *Table) Route(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	prefixes := t.hosts[host]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Team returns the team that has a key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// HasTeams reports whether the configuration has teams, so that requests need keys.
func (t *Table) HasTeams() bool { return len(t.Config.Teams) > 0 }

// Service returns the service of a request: the route's only one, or one picked by weight from
// the hash of the request's ID.
func (t *Table) Service(r *Route, id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return r.Split[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, w := range r.Split {
		at -= w.Weight
		if at < 0 {
			return w.Service
		}
	}
	return r.Split[0].Service
}
