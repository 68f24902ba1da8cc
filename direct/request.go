package direct

import (
	"time"

	"github.com/croftvale/croftvale/quarantine"
)

// RequestID names a request within one life of a router.
type RequestID uint64

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what the decisions need to know of a request.
type Request struct {
	ID           RequestID
	Team         string
	Route        string
	Service      string
	Regions      Regions // that it may be served in
	Kind         Kind
	MayRepeat    bool
	Attempts     int // servers that it may be sent to
	Priority     int
	Objective    time.Duration
	Age          time.Duration // since its caller first asked, as far as is known
	Deadline     time.Duration // when the caller or the route gives it up
	PromptTokens int           // of the whole prompt
	OutputTokens int           // expected
	Parts        []PromptPart  // of the prompt, in order; the last is the request's own
	Fingerprint  quarantine.Fingerprint
}

// ownTokens counts the tokens of the prompt that no other request shares.
func (r *Request) ownTokens() int {
	n := r.PromptTokens
	for i := 0; i+1 < len(r.Parts); i++ {
		n -= r.Parts[i].Tokens
	}
	return max(n, 0)
}

// lastShared returns the last part of the prompt that other requests may share.
func (r *Request) lastShared() (PromptPart, bool) {
	if len(r.Parts) < 2 {
		return PromptPart{}, false
	}
	return r.Parts[len(r.Parts)-2], true
}
