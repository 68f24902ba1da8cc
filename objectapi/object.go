package objectapi

import "github.com/croftvale/croftvale/fleet"

// Ref identifies an object.
type Ref struct {
	Kind string
	Name string
}

// Version identifies one state of an object. The platform assigns versions in
// increasing order; 0 means that the object does not exist.
type Version uint64

// Object holds the body of an object and the version at which it was read.
type Object struct {
	Ref     Ref
	Version Version
	Body    []byte
}

// HostState is the state of a host according to the platform.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list of hosts, which may be out of date.
type Host struct {
	Name           fleet.Name `json:"name"`
	Role           string     `json:"role"`
	Hall           fleet.Hall `json:"hall"`
	ControlAddress string     `json:"links"` // address for control links
	State          HostState  `json:"state"`
}

// The objects that hold the bundle.
var (
	// BundlePointer holds the current order. It is the only bundle object that is
	// overwritten.
	BundlePointer = Ref{Kind: "bundle", Name: "current"}
)

// BundleContent returns the ref of the bundle content that has the given digest.
// Such objects are written once and never change.
func BundleContent(digest string) Ref { return Ref{Kind: "content", Name: digest} }
