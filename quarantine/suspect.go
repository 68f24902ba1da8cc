package quarantine

import (
	"math"
	"slices"
	"time"
)

// crash is one crash of a server that was executing a fingerprint.
type crash struct {
	server  Server
	at      time.Duration
	hall    uint16 // see Crash.Hall
	request uint16 // see Crash.Request, or severalRequests
}

// severalRequests stands for more than one request with the same fingerprint on a server that
// crashed.
const severalRequests = 0

// RequestHash returns the hash of a content for Crash.Request.
func RequestHash(content Fingerprint) uint16 { return uint16(content%math.MaxUint16) + 1 }

// suspect holds the state of one fingerprint under which servers crashed.
type suspect struct {
	fingerprint     Fingerprint
	crashes         []crash      // oldest first
	cleared         optionalTime // last found harmless: earlier crashes do not count
	refused         optionalTime // last refused
	refusedReported optionalTime // value of refused in the last report
	// recorded is set if the store lists it as barred and it was not cleared since.
	recorded   bool
	recordedAt time.Duration
	barred     bool
	// multiCrash is set once it has had more than one crash or the store has listed it: all
	// routers must receive it.
	multiCrash bool
	sendsLeft  int // number of further lists to report it in
	barredAt   time.Duration
	partEvidence
}

// partEvidence is what is known of a part only.
type partEvidence struct {
	// established is set if any router has found that it is unproven.
	established bool
	// survivorBegan is when the latest response began that went on for some time without a crash.
	survivorBegan optionalTime
	// suspectedSince is when there were enough crashes to bar it, but for survivors.
	suspectedSince optionalTime
	triedAt        optionalTime // see Suspects.MayTry
}

// optionalTime is a time, or none. Zero and negative times are valid: events that others report
// may have happened before this router started.
type optionalTime struct {
	at    time.Duration
	valid bool
}

// advance sets the time to at if that is later.
func (t *optionalTime) advance(at time.Duration) {
	if !t.valid || at > t.at {
		*t = optionalTime{at: at, valid: true}
	}
}

// crashDedupWindow is how far apart two reports of the same crash may be. It must be shorter
// than the seconds between two crashes of a server that restarts unnoticed, which have the same
// Server value.
const crashDedupWindow = 1500 * time.Millisecond

// hasCrash reports whether a crash is already recorded.
func (x *suspect) hasCrash(other crash) bool {
	return slices.ContainsFunc(x.crashes, other.isSame)
}

// isSame reports whether two crashes are the same one, perhaps at slightly different times.
func (c crash) isSame(other crash) bool {
	return c.server == other.server && (c.at-other.at).Abs() < crashDedupWindow
}

// mergeRequest records that another request with the fingerprint was on a server that crashed, and
// reports whether that is new.
func (x *suspect) mergeRequest(other crash) bool {
	i := slices.IndexFunc(x.crashes, other.isSame)
	if i < 0 || x.crashes[i].request == other.request || x.crashes[i].request == severalRequests {
		return false
	}
	x.crashes[i].request = severalRequests
	return true
}

// isCorrelated reports whether a crash and an earlier one may be the failure of a data hall.
func (c crash) isCorrelated(earlier crash) bool {
	retried := c.request == earlier.request && c.request != severalRequests
	return c.hall == earlier.hall && c.at-earlier.at < correlatedCrashWindow && !retried
}

// crashedServer reports whether s is known to have crashed under the fingerprint.
func (x *suspect) crashedServer(s Server) bool {
	return slices.ContainsFunc(x.crashes, func(c crash) bool { return c.server == s })
}

// clearedSince reports whether the fingerprint was cleared after a crash at the given time, so
// that the crash does not count.
func (x *suspect) clearedSince(at time.Duration) bool { return x.cleared.valid && at <= x.cleared.at }

// survived reports whether a request survived for some time that began after a crash. That speaks
// against the crash as evidence, though not for certain.
func (x *suspect) survived(c crash) bool {
	return x.survivorBegan.valid && c.at < x.survivorBegan.at
}

// requests returns the number of different requests with crashes, as far as their hashes differ.
func (x *suspect) requests() int {
	n := 0
	for i, c := range x.crashes {
		switch {
		case c.request == severalRequests:
			n += 2
		case !slices.ContainsFunc(x.crashes[:i], func(other crash) bool { return other.request == c.request }):
			n++
		}
	}
	return n
}

// independentCrashes returns the number of crashes that count, where those of one data hall within
// correlatedCrashWindow count as one: a hall may fail as a whole. Two servers on which one request
// was are independent, as the request was retried in between.
func (x *suspect) independentCrashes(counts func(crash) bool) int {
	var counted []crash
	for _, c := range x.crashes {
		if !counts(c) {
			continue
		}
		if !slices.ContainsFunc(counted, c.isCorrelated) {
			counted = append(counted, c)
		}
	}
	return len(counted)
}

// failedTrials returns the number of crashes since it was barred, but for those of requests that
// were running then.
func (x *suspect) failedTrials() int {
	n := 0
	for _, c := range x.crashes {
		if x.barred && c.at > x.barredAt+trialInterval {
			n++
		}
	}
	return n
}

// lastEvidence returns the time of the latest evidence against the fingerprint.
func (x *suspect) lastEvidence() time.Duration {
	if n := len(x.crashes); n > 0 {
		return x.crashes[n-1].at
	}
	return x.recordedAt
}

// lastUpdate returns the time of the last event of the fingerprint.
func (x *suspect) lastUpdate() time.Duration {
	var last optionalTime
	for _, t := range []optionalTime{x.cleared, x.refused} {
		if t.valid {
			last.advance(t.at)
		}
	}
	if n := len(x.crashes); n > 0 {
		last.advance(x.crashes[n-1].at)
	}
	return last.at
}
