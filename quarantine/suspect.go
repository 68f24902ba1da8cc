package quarantine

import (
	"slices"
	"time"
)

// crash is one crash of a server that was running a content.
type crash struct {
	server Server
	at     time.Duration
}

// suspect is what is known of one content under which servers crashed.
type suspect struct {
	content Fingerprint
	crashes []crash // the oldest first
	cleared moment  // when it was last found to do no harm: older crashes don't count
	asked   moment  // when it was last refused
	askTold moment  // the time of asked that others were last told
	// recorded says that the store lists it as barred, and it wasn't cleared since.
	recorded bool
	barred   bool
	// grave says that more than one server has crashed under it, so that all routers have to know.
	grave bool
	tell  int // lists that are still to tell of it
}

// moment is a time, or none. What others told of may have happened before this router
// started, at a negative time.
type moment struct {
	at    time.Duration
	known bool
}

// renew takes in a time, if it is later.
func (m *moment) renew(at time.Duration) {
	if !m.known || at > m.at {
		*m = moment{at: at, known: true}
	}
}

// sameCrash is how far apart two reports of one crash may be. A server that is back and
// hasn't said so crashes a second time under the name of its first start, seconds later.
const sameCrash = 1500 * time.Millisecond

// sawCrash tells whether a crash is known.
func (x *suspect) sawCrash(one crash) bool {
	return slices.ContainsFunc(x.crashes, func(c crash) bool {
		return c.server == one.server && (c.at-one.at).Abs() < sameCrash
	})
}

// ranOn tells whether a server is known to have crashed under the content.
func (x *suspect) ranOn(s Server) bool {
	return slices.ContainsFunc(x.crashes, func(c crash) bool { return c.server == s })
}

// void tells whether a crash at a time doesn't count, since the content was cleared later.
func (x *suspect) void(at time.Duration) bool { return x.cleared.known && at <= x.cleared.at }

// lastAt is when something was last learned of the content.
func (x *suspect) lastAt() time.Duration {
	var last moment
	for _, m := range []moment{x.cleared, x.asked} {
		if m.known {
			last.renew(m.at)
		}
	}
	if n := len(x.crashes); n > 0 {
		last.renew(x.crashes[n-1].at)
	}
	return last.at
}
