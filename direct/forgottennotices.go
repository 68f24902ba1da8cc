package direct

import (
	"slices"
	"time"
)

// noticesMost bounds the forgotten servers of which notices are kept, some 100 bytes each.
const maxForgottenNotices = 4096

// oldNotices are the notices of servers that have been forgotten, by id: an entry that went may
// come back, and the server is the same then.
type forgottenNotices struct {
	byServer map[string]serverNotices
	order    []string // oldest first
}

// keep remembers what a server said that is being forgotten.
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

// take returns what a server said before it was forgotten.
func (o *forgottenNotices) take(id string) serverNotices {
	n, ok := o.byServer[id]
	if ok {
		delete(o.byServer, id)
		o.order = slices.DeleteFunc(o.order, func(other string) bool { return other == id })
	}
	return n
}
