package bundle

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/tomlfile"
)

// Defaults of the limits, the policy and the health probe.
const (
	DefaultMaxWaiting        = 8_000   // requests; they take about 200 MB of a router's memory
	DefaultMaxWaitingPerTeam = 2_000   // requests
	DefaultMaxBody           = 4 << 20 // bytes
	DefaultMaxWait           = time.Minute
	DefaultRetryBudget       = 0.1 // retries per first attempt
	DefaultUrgentBorrow      = 2 * time.Second
	DefaultCatchUp           = time.Minute
	DefaultClaimAhead        = 1
	DefaultHubsPerHall       = 2
	DefaultLinksPerServer    = 16
	DefaultProbe             = "/health"
)

// The values of Policy.Sharing.
const (
	SharingFleet = "fleet"
	SharingLocal = "local"
	SharingFIFO  = "fifo"
)

// sharingDefaults holds the defaults that a preference selects.
type sharingDefaults struct {
	shareEvery time.Duration
	delta      time.Duration
}

var defaultsByPreference = map[Preference]sharingDefaults{
	PreferGap:   {shareEvery: time.Second, delta: 10 * time.Second},
	PreferBytes: {shareEvery: 2 * time.Second, delta: 20 * time.Second},
}

// WithDefaults returns the bundle with all defaults filled in. Processes use
// this form. Signatures and command output use the bundle as the operators wrote
// it.
func (b Bundle) WithDefaults() Bundle {
	b.Policy = b.Policy.WithDefaults()
	b.Limits = b.Limits.withDefaults()
	servers := make([]Server, len(b.Servers))
	for i, s := range b.Servers {
		if s.Probe == "" {
			s.Probe = DefaultProbe
		}
		servers[i] = s
	}
	b.Servers = servers
	return b
}

// WithDefaults returns the policy with all defaults filled in.
func (p Policy) WithDefaults() Policy {
	if p.Prefer == "" {
		p.Prefer = PreferGap
	}
	if p.Sharing == "" {
		p.Sharing = SharingFleet
	}
	s := defaultsByPreference[p.Prefer]
	p.ShareEvery = tomlfile.Duration(p.ShareEvery.Or(s.shareEvery))
	p.Delta = tomlfile.Duration(p.Delta.Or(s.delta))
	p.UrgentBorrow = tomlfile.Duration(p.UrgentBorrow.Or(DefaultUrgentBorrow))
	p.CatchUp = tomlfile.Duration(p.CatchUp.Or(DefaultCatchUp))
	if p.ClaimAhead == nil {
		ahead := DefaultClaimAhead
		p.ClaimAhead = &ahead
	}
	p.HubsPerHall = intOrDefault(p.HubsPerHall, DefaultHubsPerHall)
	p.LinksPerServer = intOrDefault(p.LinksPerServer, DefaultLinksPerServer)
	return p
}

func (l Limits) withDefaults() Limits {
	l.MaxWaiting = intOrDefault(l.MaxWaiting, DefaultMaxWaiting)
	l.MaxWaitingPerTeam = intOrDefault(l.MaxWaitingPerTeam, DefaultMaxWaitingPerTeam)
	l.MaxBody = tomlfile.Size(l.MaxBody.Or(DefaultMaxBody))
	l.MaxWait = tomlfile.Duration(l.MaxWait.Or(DefaultMaxWait))
	if l.RetryBudget == 0 {
		l.RetryBudget = DefaultRetryBudget
	}
	return l
}

// ServersOf returns the sorted names of the servers that run a work, including
// leaving servers.
func (b Bundle) ServersOf(w fleet.Work) []fleet.Name {
	var names []fleet.Name
	for _, s := range b.Servers {
		if slices.Contains(s.Works, w) {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	return names
}

func intOrDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}
