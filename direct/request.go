package direct

import (
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

// RequestID identifies a request within one run of a router.
type RequestID uint64

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that decisions depend on.
type Request struct {
	ID           RequestID
	Team         string
	Route        string
	Service      string
	Regions      Regions // that may serve it
	Kind         Kind
	MayRepeat    bool
	Attempts     int // maximum number of servers that it is sent to
	Priority     int
	Objective    time.Duration
	Age          time.Duration // since the caller's first try, as far as known
	Deadline     time.Duration // when the caller or the route gives it up
	PromptTokens int           // of the whole prompt
	OutputTokens int           // expected
	Parts        []PromptPart  // of the prompt, in order; the last is not shared
	Fingerprint  quarantine.Fingerprint
	// Version is the version of the servers that may continue the stream, once it has begun;
	// empty: servers of any version may get the request.
	Version string
	// Resumed reports that the request resumes a stream which is known to have begun. It is
	// admitted like a retry: the work on its first events has been done.
	Resumed bool
}

// unrestricted is a request that any server of its service may get.
var unrestricted = &Request{}

// allows reports whether the request may go to a server, by its region and version.
func (r *Request) allows(s *server) bool {
	return r.Regions.Allows(s.region) && (r.Version == "" || !s.restarted && (r.Version == s.Version || UnlistedID(r.Version) == s.ID))
}

// ownTokens returns the tokens of the prompt that are in no shared part.
func (r *Request) ownTokens() int {
	n := r.PromptTokens
	for i := 0; i+1 < len(r.Parts); i++ {
		n -= r.Parts[i].Tokens
	}
	return max(n, 0)
}

// sharedParts returns the parts of the prompt that other requests may share.
func (r *Request) sharedParts() []PromptPart {
	return r.Parts[:max(len(r.Parts)-1, 0)]
}

// lastShared returns the last shared part of the prompt, if there is one.
func (r *Request) lastShared() (PromptPart, bool) {
	if len(r.Parts) < 2 {
		return PromptPart{}, false
	}
	return r.Parts[len(r.Parts)-2], true
}
