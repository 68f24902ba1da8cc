package relay

import (
	"net/http"
	"strings"
)

// Headers of croftvale's own, and standard ones that it reads.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderRan            = "Croftvale-Ran"        // yes, no or unknown
	HeaderClaim          = "Croftvale-Claim"      // router to agent: the claim that is granted, and after a blank what is left of its line, as count/ms
	HeaderTeam           = "Croftvale-Team"       // router to agent
	HeaderWork           = "Croftvale-Work"       // router to agent
	HeaderClass          = "Croftvale-Class"      // urgent, ordinary or batch
	HeaderRepeatable     = "Croftvale-Repeatable" // yes or no
	HeaderDeadline       = "Croftvale-Deadline"   // time left, such as 2s
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderKeyCreatedAt   = "Croftvale-Key-Made" // when the key was first used: RFC 3339 with fractions of a second
)

// hopByHop headers belong to one connection and are never forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// CopyHeader copies the headers that go end to end, except those named in
// without.
func CopyHeader(dst, src http.Header, exclude ...string) {
	listed := connectionNames(src)
	for key, values := range src {
		if hopByHop[key] || listed[key] || contains(exclude, key) {
			continue
		}
		dst[key] = append([]string(nil), values...)
	}
}

// connectionNames returns the headers that the Connection header names.
func connectionNames(h http.Header) map[string]bool {
	names := map[string]bool{}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func contains(list []string, key string) bool {
	for _, k := range list {
		if k == key {
			return true
		}
	}
	return false
}
