package direct

import (
	"slices"
	"time"
)

// maxForgottenNotices limits the forgotten servers whose notices are kept; each takes about 100
// bytes.
const maxForgottenNotices = 4096

// forgottenNotices holds the notices of forgotten servers by ID. If the entry of a server comes
// back, it is still the same server.
type forgottenNotices struct {
	byServer map[string]serverNotices
	order    []string // oldest first
}

// add stores the notices of a server that is being forgotten.
func (o *forgottenNotices) add(now time.Duration, s *server) {
	if !s.notices.active(now) {
		return
	}
	if o.byServer == nil {
		o.byServer = make(map[string]serverNotices)
	}
	o.byServer[s.ID] = s.notices
	o.order = append(o.order, s.ID)
	if len(o.order) > maxForgottenNotices {
		delete(o.byServer, o.order[0])
		o.order = slices.Delete(o.order, 0, 1)
	}
}

// take removes and returns the notices of a forgotten server.
func (o *forgottenNotices) take(id string) serverNotices {
	n, ok := o.byServer[id]
	if ok {
		delete(o.byServer, id)
		o.order = slices.DeleteFunc(o.order, func(other string) bool { return other == id })
	}
	return n
}
