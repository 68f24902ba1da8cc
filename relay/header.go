package relay

import (
	"net/http"
	"strings"
)

// Headers specific to croftvale, and standard headers that it reads.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderRan            = "Croftvale-Ran"        // yes, no or unknown
	HeaderClaim          = "Croftvale-Claim"      // router to agent: the granted claim, a space, and what remains in its queue as count/ms: requests and age of the oldest
	HeaderTeam           = "Croftvale-Team"       // router to agent
	HeaderWork           = "Croftvale-Work"       // router to agent
	HeaderClass          = "Croftvale-Class"      // urgent, ordinary or batch
	HeaderRepeatable     = "Croftvale-Repeatable" // yes or no
	HeaderDeadline       = "Croftvale-Deadline"   // time left, such as 2s
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderKeyCreatedAt   = "Croftvale-Key-Made" // when the key was first used: RFC 3339 with fractions of a second
)

// hopByHop headers apply to one connection and are never forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// CopyHeader copies the end-to-end headers, except those listed in exclude.
func CopyHeader(dst, src http.Header, exclude ...string) {
	listed := connectionNames(src)
	for key, values := range src {
		if hopByHop[key] || listed[key] || contains(exclude, key) {
			continue
		}
		dst[key] = append([]string(nil), values...)
	}
}

// connectionNames returns the headers that the Connection header lists.
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
