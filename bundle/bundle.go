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

// Preference says which side of the trade a fleet leans to.
type Preference string

// The preferences.
const (
	// PreferGap shares counters often, for a small fairness gap.
	PreferGap Preference = "gap"
	// PreferBytes shares counters seldom, for thin links.
	PreferBytes Preference = "bytes"
)

// Policy sets how the fleet shares capacity. Zero values take the defaults of
// the preference; see Policy.WithDefaults.
type Policy struct {
	Prefer         Preference        `toml:"prefer" json:"prefer,omitempty"`
	Sharing        string            `toml:"sharing" json:"sharing,omitempty"`             // "fleet"; "local" and "fifo" are baselines for measurements
	ShareEvery     tomlfile.Duration `toml:"share_every" json:"share_every,omitempty"`     // longest time between two service messages while service flows
	Delta          tomlfile.Duration `toml:"delta" json:"delta,omitempty"`                 // slot time of unsent service of one team that is sent at once
	UrgentBorrow   tomlfile.Duration `toml:"urgent_borrow" json:"urgent_borrow,omitempty"` // slot time per share that urgent work may take ahead of its team's turn
	CatchUp        tomlfile.Duration `toml:"catch_up" json:"catch_up,omitempty"`           // largest deficit per share that is ever repaid
	ClaimAhead     *int              `toml:"claim_ahead" json:"claim_ahead,omitempty"`     // claims an agent may hold beyond its slots
	HubsPerHall    int               `toml:"hubs_per_hall" json:"hubs_per_hall,omitempty"`
	LinksPerServer int               `toml:"links_per_server" json:"links_per_server,omitempty"` // routers that link to one agent
}

// Limits bounds what callers can ask of one router.
type Limits struct {
	MaxWaiting        int               `toml:"max_waiting" json:"max_waiting,omitempty"`                   // requests, all teams
	MaxWaitingPerTeam int               `toml:"max_waiting_per_team" json:"max_waiting_per_team,omitempty"` // requests, unless the team says otherwise
	MaxBody           tomlfile.Size     `toml:"max_body" json:"max_body,omitempty"`
	MaxWait           tomlfile.Duration `toml:"max_wait" json:"max_wait,omitempty"`         // longest a request may wait
	RetryBudget       float64           `toml:"retry_budget" json:"retry_budget,omitempty"` // retries per first attempt
}

// Team is one customer of the fleet.
type Team struct {
	Name       fleet.Team   `toml:"name" json:"name"`
	Share      float64      `toml:"share" json:"share"`
	Keys       []string     `toml:"keys" json:"keys,omitempty"`               // "sha256:" and the hex digest of a bearer key
	MaxWaiting int          `toml:"max_waiting" json:"max_waiting,omitempty"` // requests at one router
	Works      []fleet.Work `toml:"works" json:"works,omitempty"`             // works the team may ask for; none means all
}

// Kind tells model engines from plain services.
type Kind string

// The kinds of work.
const (
	KindModel Kind = "model"
	KindApp   Kind = "app"
)

// Work is one kind of work and the requests that ask for it.
type Work struct {
	Name       fleet.Work `toml:"name" json:"name"`
	Kind       Kind       `toml:"kind" json:"kind"`
	Method     string     `toml:"method" json:"method,omitempty"` // any method where empty
	Path       string     `toml:"path" json:"path"`               // exact, or a prefix that ends in /*
	Model      string     `toml:"model" json:"model,omitempty"`   // the "model" field that the body must have; any where empty
	Class      string     `toml:"class" json:"class,omitempty"`
	Repeatable bool       `toml:"repeatable" json:"repeatable,omitempty"`
}

// Server is one backend server and the agent beside it.
type Server struct {
	Name         fleet.Name       `toml:"name" json:"name"`
	Hall         fleet.Hall       `toml:"hall" json:"hall"`
	Agent        tomlfile.Address `toml:"agent" json:"agent"` // control links to the agent
	Serve        tomlfile.Address `toml:"serve" json:"serve"` // granted requests, by HTTP, to the agent
	Address      tomlfile.Address `toml:"address" json:"address"`
	Slots        int              `toml:"slots" json:"slots"`
	Works        []fleet.Work     `toml:"works" json:"works"`
	Probe        string           `toml:"probe" json:"probe,omitempty"` // path of the health probe
	ChecksFences bool             `toml:"checks_fences" json:"checks_fences,omitempty"`
	Leaving      bool             `toml:"leaving" json:"leaving,omitempty"`
}
