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
	fingerprint     Fingerprint
	crashes         []crash      // the oldest first
	cleared         optionalTime // when it was last found to do no harm: older crashes don't count
	refused         optionalTime // when it was last refused
	refusedReported optionalTime // the time of asked that others were last told
	// recorded says that the store lists it as barred, and it wasn't cleared since.
	recorded bool
	barred   bool
	// grave says that more than one server has crashed under it, so that all routers have to know.
	multiCrash bool
	sendsLeft  int // lists that are still to tell of it
}

// moment is a time, or none. What others told of may have happened before this router
// started, at a negative time.
type optionalTime struct {
	at    time.Duration
	valid bool
}

// renew takes in a time, if it is later.
func (m *optionalTime) advance(at time.Duration) {
	if !m.valid || at > m.at {
		*m = optionalTime{at: at, valid: true}
	}
}

// sameCrash is how far apart two reports of one crash may be. A server that is back and
// hasn't said so crashes a second time under the name of its first start, seconds later.
const crashDedupWindow = 1500 * time.Millisecond

// sawCrash tells whether a crash is known.
func (x *suspect) hasCrash(one crash) bool {
	return slices.ContainsFunc(x.crashes, func(c crash) bool {
		return c.server == one.server && (c.at-one.at).Abs() < crashDedupWindow
	})
}

// ranOn tells whether a server is known to have crashed under the content.
func (x *suspect) crashedServer(s Server) bool {
	return slices.ContainsFunc(x.crashes, func(c crash) bool { return c.server == s })
}

// void tells whether a crash at a time doesn't count, since the content was cleared later.
func (x *suspect) clearedSince(at time.Duration) bool { return x.cleared.valid && at <= x.cleared.at }

// lastAt is when something was last learned of the content.
func (x *suspect) lastUpdate() time.Duration {
	var last optionalTime
	for _, m := range []optionalTime{x.cleared, x.refused} {
		if m.valid {
			last.advance(m.at)
		}
	}
	if n := len(x.crashes); n > 0 {
		last.advance(x.crashes[n-1].at)
	}
	return last.at
}
