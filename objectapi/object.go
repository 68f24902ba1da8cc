package objectapi

import "github.com/croftvale/croftvale/fleet"

// Ref names an object.
type Ref struct {
	Kind string
	Name string
}

// Version is the platform's word for one state of an object. It only grows;
// 0 stands for "does not exist".
type Version uint64

// Object is an object as it was read.
type Object struct {
	Ref     Ref
	Version Version
	Body    []byte
}

// HostState says what the platform knows of a host.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list of hosts. The list lags.
type Host struct {
	Name           fleet.Name `json:"name"`
	Role           string     `json:"role"`
	Hall           fleet.Hall `json:"hall"`
	ControlAddress string     `json:"links"` // control address
	State          HostState  `json:"state"`
}

// The objects that hold the bundle.
var (
	// BundlePointer is the one object that moves: the order in force.
	BundlePointer = Ref{Kind: "bundle", Name: "current"}
)

// BundleContent returns the object that holds the content of a digest. Such
// objects are made once and never change.
func BundleContent(digest string) Ref { return Ref{Kind: "content", Name: digest} }
