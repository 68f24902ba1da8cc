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
func (f *forgottenNotices) add(now time.Duration, s *server) { f.put(now, s.ID, s.notices) }

// put stores notices by an ID, or by a name for the start that is listed next under it.
func (f *forgottenNotices) put(now time.Duration, id string, n serverNotices) {
	if !n.active(now) {
		return
	}
	if f.byServer == nil {
		f.byServer = make(map[string]serverNotices)
	}
	if _, known := f.byServer[id]; !known {
		f.order = append(f.order, id)
	}
	f.byServer[id] = n
	if len(f.order) > maxForgottenNotices {
		delete(f.byServer, f.order[0])
		f.order = slices.Delete(f.order, 0, 1)
	}
}

// take removes and returns the notices of a forgotten server.
func (f *forgottenNotices) take(id string) serverNotices {
	n, ok := f.byServer[id]
	if ok {
		delete(f.byServer, id)
		f.order = slices.DeleteFunc(f.order, func(other string) bool { return other == id })
	}
	return n
}
