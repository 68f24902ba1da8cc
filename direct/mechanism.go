package direct

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Mechanism names a part of a router's policy that can be switched off, to
// measure what it is worth. Operators never switch one off.
type Mechanism string

// The mechanisms.
const (
	SharedLoads      Mechanism = "loads"          // routers count what the others have at the servers
	FewCandidates    Mechanism = "few-candidates" // a request looks at a few servers first
	Locality         Mechanism = "locality"       // servers that keep a prompt's parts are preferred
	SurplusReads     Mechanism = "surplus-reads"  // what a team gets beyond its share reads no shared part again
	SharedCopies     Mechanism = "copies"         // routers tell one another of copies of a prompt's parts
	TokenBuckets     Mechanism = "allowances"     // a team above its share gets so many tokens at each router
	EarlyRefusal     Mechanism = "door"           // what an allowance cannot cover is refused before its body is read
	EvenCap          Mechanism = "even-bound"     // no team gets much more than one that wants more and gets less
	Headroom         Mechanism = "headroom"       // teams get more than what is configured while servers are idle
	NewFirst         Mechanism = "new-first"      // requests that are late already come after the others
	Ejection         Mechanism = "ejection"       // servers that fail often get no requests for a while
	HallReachability Mechanism = "hall-reach"     // a hall whose servers can't be reached in a row gets only probes
	LapseGrace       Mechanism = "lapse-hold"     // servers whose entries went with many others are used a little longer
	StallTimeout     Mechanism = "patience"       // a server that says nothing is given up for another one
	LoadShedding     Mechanism = "shedding"       // a router short of processor time refuses new requests at once
	UnreadyUnderLoad Mechanism = "yielding"       // such a router is not ready for a while
	EventBatching    Mechanism = "gathering"      // such a router passes events on together
	StoreFollowers   Mechanism = "followers"      // only a few routers follow the store
	Quarantine       Mechanism = "quarantine"     // requests under which servers crash are refused
)

var mechanisms = []Mechanism{
	SharedLoads, FewCandidates, Locality, SharedCopies, SurplusReads, TokenBuckets, EarlyRefusal, EvenCap, Headroom, NewFirst, Ejection, HallReachability, LapseGrace,
	StallTimeout, LoadShedding, UnreadyUnderLoad, EventBatching, StoreFollowers, Quarantine,
}

// ErrUnknownMechanism says that there is no mechanism of a name.
var ErrUnknownMechanism = errors.New("unknown mechanism")

// DisabledMechanisms is the set of mechanisms that are switched off. Its zero value
// switches none off.
type DisabledMechanisms struct{ disabled []Mechanism }

// ParseDisabledMechanisms reads names separated by commas.
func ParseDisabledMechanisms(names string) (DisabledMechanisms, error) {
	var w DisabledMechanisms
	if names == "" {
		return w, nil
	}
	for name := range strings.SplitSeq(names, ",") {
		m := Mechanism(strings.TrimSpace(name))
		if !slices.Contains(mechanisms, m) {
			return DisabledMechanisms{}, errors.Wrapf(ErrUnknownMechanism, "%q; there are %v", name, mechanisms)
		}
		w.disabled = append(w.disabled, m)
	}
	return w, nil
}

// Enabled tells whether a mechanism is not switched off.
func (w DisabledMechanisms) Enabled(m Mechanism) bool { return !slices.Contains(w.disabled, m) }

// String lists the mechanisms that are switched off.
func (w DisabledMechanisms) String() string {
	names := make([]string, len(w.disabled))
	for i, m := range w.disabled {
		names[i] = string(m)
	}
	return strings.Join(names, ",")
}
