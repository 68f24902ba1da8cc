package direct

import (
	"slices"
	"time"
)

// CanContinueElsewhere reports whether another server could continue a request if its present one
// stopped. A stream that has begun can continue only at its version.
func (m *Machine) CanContinueElsewhere(now time.Duration, id RequestID) bool {
	r := m.requests[id]
	if r == nil {
		return false
	}
	return slices.ContainsFunc(m.pool(r.Service).serversFor(&r.Request), func(s *server) bool {
		return s != r.currentServer && s.accepts(now, &r.Request) && !r.hasTried(s.ID)
	})
}
