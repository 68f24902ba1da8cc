package direct

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mechanism is a part of a router's policy that can be switched off to measure its effect.
// Operators never switch one off.
type Mechanism string

// Values of Mechanism.
const (
	SharedLoads      Mechanism = "loads"          // routers count the load that other routers place on servers
	FewCandidates    Mechanism = "few-candidates" // a request examines only a few servers first
	Locality         Mechanism = "locality"       // servers that hold a prompt's parts are preferred
	SurplusReads     Mechanism = "surplus-reads"  // requests beyond a team's share go only where no shared part must be read again
	SharedCopies     Mechanism = "copies"         // routers announce copies of prompt parts to one another
	TokenBuckets     Mechanism = "allowances"     // each router limits teams above their share by a token bucket
	EarlyRefusal     Mechanism = "door"           // requests that the token bucket can't cover are refused before their body is read
	EvenCap          Mechanism = "even-bound"     // no team gets much more than one that asks for more and gets less
	Headroom         Mechanism = "headroom"       // teams share more than the configured capacity while servers are idle
	NewFirst         Mechanism = "new-first"      // requests that are late already come after the others
	Ejection         Mechanism = "ejection"       // servers that fail often get no requests for some time
	HallReachability Mechanism = "hall-reach"     // a hall where several servers in a row are unreachable gets only probes
	LapseGrace       Mechanism = "lapse-hold"     // servers whose entries vanish together with many others stay in use for a short time
	StallTimeout     Mechanism = "patience"       // an attempt at a server that stays silent is given up for another server
	LoadShedding     Mechanism = "shedding"       // a router short of processor time refuses new requests at once
	UnreadyUnderLoad Mechanism = "yielding"       // a router short of processor time reports itself as not ready for some time
	EventBatching    Mechanism = "gathering"      // a router short of processor time forwards events in batches
	StoreFollowers   Mechanism = "followers"      // only a few routers follow the store
	Quarantine       Mechanism = "quarantine"     // requests with a fingerprint under which servers crash are refused
)

var mechanisms = []Mechanism{
	SharedLoads, FewCandidates, Locality, SharedCopies, SurplusReads, TokenBuckets, EarlyRefusal, EvenCap, Headroom, NewFirst, Ejection, HallReachability, LapseGrace,
	StallTimeout, LoadShedding, UnreadyUnderLoad, EventBatching, StoreFollowers, Quarantine,
}

// ErrUnknownMechanism is returned for a name that no mechanism has.
var ErrUnknownMechanism = errors.New("unknown mechanism")

// DisabledMechanisms is the set of mechanisms that are switched off. The zero value is empty.
type DisabledMechanisms struct{ disabled []Mechanism }

// ParseDisabledMechanisms parses a comma-separated list of mechanism names.
func ParseDisabledMechanisms(names string) (DisabledMechanisms, error) {
	var d DisabledMechanisms
	if names == "" {
		return d, nil
	}
	for name := range strings.SplitSeq(names, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(mechanisms, m) {
			return DisabledMechanisms{}, errors.Wrapf(ErrUnknownMechanism, "%q; known mechanisms: %v", name, mechanisms)
		}
		d.disabled = append(d.disabled, m)
	}
	return d, nil
}

// Enabled reports whether a mechanism is not in the set.
func (d DisabledMechanisms) Enabled(m Mechanism) bool { return !slices.Contains(d.disabled, m) }

// String returns the names of the set, separated by commas.
func (d DisabledMechanisms) String() string {
	names := make([]string, len(d.disabled))
	for i, m := range d.disabled {
		names[i] = string(m)
	}
	return strings.Join(names, ",")
}
