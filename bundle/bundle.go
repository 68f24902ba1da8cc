package bundle

import (
	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/tomlfile"
)

// Bundle is one version of the whole configuration.
type Bundle struct {
	Policy  Policy   `toml:"policy" json:"policy"`
	Limits  Limits   `toml:"limits" json:"limits"`
	Teams   []Team   `toml:"teams" json:"teams"`
	Works   []Work   `toml:"works" json:"works"`
	Servers []Server `toml:"servers" json:"servers"`
}

// Preference selects the trade-off between fairness and control traffic.
type Preference string

// The preferences.
const (
	// PreferGap exchanges counters often, to keep the fairness gap small.
	PreferGap Preference = "gap"
	// PreferBytes exchanges counters less often, for links with little bandwidth.
	PreferBytes Preference = "bytes"
)

// Policy configures how the fleet shares capacity. Zero values take the defaults
// of the preference; see Policy.WithDefaults.
type Policy struct {
	Prefer         Preference        `toml:"prefer" json:"prefer,omitempty"`
	Sharing        string            `toml:"sharing" json:"sharing,omitempty"`                   // "fleet"; "local" and "fifo" are baselines for measurements
	ShareEvery     tomlfile.Duration `toml:"share_every" json:"share_every,omitempty"`           // maximum interval between service messages while servers run requests
	Delta          tomlfile.Duration `toml:"delta" json:"delta,omitempty"`                       // unsent service of one team, in slot time, that triggers an immediate message
	UrgentBorrow   tomlfile.Duration `toml:"urgent_borrow" json:"urgent_borrow,omitempty"`       // slot time per share that urgent requests may use before their team's turn
	CatchUp        tomlfile.Duration `toml:"catch_up" json:"catch_up,omitempty"`                 // maximum service deficit, in slot time per share, that a team can make up later
	ClaimAhead     *int              `toml:"claim_ahead" json:"claim_ahead,omitempty"`           // claims that an agent may hold in addition to its slots
	HubsPerHall    int               `toml:"hubs_per_hall" json:"hubs_per_hall,omitempty"`       // routers per data hall that exchange service totals with other halls
	LinksPerServer int               `toml:"links_per_server" json:"links_per_server,omitempty"` // routers that connect to one agent
}

// Limits bounds the requests that one router accepts.
type Limits struct {
	MaxWaiting        int               `toml:"max_waiting" json:"max_waiting,omitempty"`                   // requests of all teams
	MaxWaitingPerTeam int               `toml:"max_waiting_per_team" json:"max_waiting_per_team,omitempty"` // requests; Team.MaxWaiting overrides it
	MaxBody           tomlfile.Size     `toml:"max_body" json:"max_body,omitempty"`                         // size of a request body
	MaxWait           tomlfile.Duration `toml:"max_wait" json:"max_wait,omitempty"`                         // maximum time a request may wait
	RetryBudget       float64           `toml:"retry_budget" json:"retry_budget,omitempty"`                 // retries per first attempt
}

// Team is one customer of the fleet.
type Team struct {
	Name       fleet.Team   `toml:"name" json:"name"`
	Share      float64      `toml:"share" json:"share"`                       // weight relative to the shares of other teams
	Keys       []string     `toml:"keys" json:"keys,omitempty"`               // "sha256:" and the hex digest of a bearer key
	MaxWaiting int          `toml:"max_waiting" json:"max_waiting,omitempty"` // requests at one router
	Works      []fleet.Work `toml:"works" json:"works,omitempty"`             // works the team may request; empty means all
}

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of work.
const (
	KindModel Kind = "model"
	KindApp   Kind = "app"
)

// Work is one kind of work and the rule that matches its requests.
type Work struct {
	Name       fleet.Work `toml:"name" json:"name"`
	Kind       Kind       `toml:"kind" json:"kind"`
	Method     string     `toml:"method" json:"method,omitempty"`         // empty matches any method
	Path       string     `toml:"path" json:"path"`                       // exact path, or a prefix that ends in /*
	Model      string     `toml:"model" json:"model,omitempty"`           // required "model" field of the body; empty matches any
	Class      string     `toml:"class" json:"class,omitempty"`           // class of requests that do not carry a class header
	Repeatable bool       `toml:"repeatable" json:"repeatable,omitempty"` // a request may run again if the outcome of a run is unknown
}

// Server is one backend server and its agent.
type Server struct {
	Name         fleet.Name       `toml:"name" json:"name"`
	Hall         fleet.Hall       `toml:"hall" json:"hall"`
	Agent        tomlfile.Address `toml:"agent" json:"agent"`     // the agent's address for control links
	Serve        tomlfile.Address `toml:"serve" json:"serve"`     // the agent's HTTP address for granted requests
	Address      tomlfile.Address `toml:"address" json:"address"` // the backend server's own HTTP address
	Slots        int              `toml:"slots" json:"slots"`     // maximum number of requests that run at once
	Works        []fleet.Work     `toml:"works" json:"works"`
	Probe        string           `toml:"probe" json:"probe,omitempty"` // path of the health probe
	ChecksFences bool             `toml:"checks_fences" json:"checks_fences,omitempty"`
	Leaving      bool             `toml:"leaving" json:"leaving,omitempty"` // the server gets no new requests
}
