package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/origin"
)

const (
	// reasonOriginUnknown is the reason to refuse a caller that resumes a stream which servers of
	// several versions may have begun.
	reasonOriginUnknown = "origin_unknown"
	// originRetryAfter is the retry delay for such callers. By then, records that were on their way
	// have arrived, and routers that do not answer count as lost.
	originRetryAfter = time.Second
	// resumeGrace is how long after its deadline a stream may still be resumed.
	resumeGrace = 10 * time.Second
)

// origins tells which version of the servers began a stream.
type origins interface {
	Begun(service string, r origin.Record)
	Hold(ctx context.Context, service string, key origin.Key, lifetime, timeout time.Duration) bool
	MetUnlisted(service, start string)
	Ended(key origin.Key)
	Lookup(ctx context.Context, service string, key origin.Key) origin.Resolution
}

// streamOrigin holds what is known of the origin of an exchange's stream. The zero value is that of
// a request that nobody can resume.
type streamOrigin struct {
	key        origin.Key
	resumable  bool   // another request can resume the stream, by its key
	version    string // that began the stream; empty: any may serve it
	recorded   bool   // there is a record of the stream
	isResuming bool   // the exchange holds the key in resumingStreams
}

// resolveOrigin restricts a request that resumes a stream to the version that began it. It returns
// a refusal if several versions may have. A route may have ceased to be resumable since.
func (x *exchange) resolveOrigin() *refusal {
	if x.route.Kind != direct.Stream || !x.route.MayRepeat() && x.info.AfterEvent == "" {
		return nil
	}
	attemptID := x.info.firstAttempt()
	x.stream.key = origin.KeyOf(x.service, x.team, attemptID)
	x.stream.resumable = attemptID != ""
	if x.info.AfterEvent == "" {
		return nil
	}
	resolution := x.front.origins.Lookup(x.work, x.service, x.stream.key)
	if x.hasStopped() {
		return &drainRefusal
	}
	if id := direct.UnlistedID(resolution.Version); id != "" {
		resolution = x.front.resolveStart(id)
	}
	x.front.stats.StreamResumed(resolution)
	if resolution.Certainty == origin.Unknown {
		x.logOriginUnknown(attemptID, resolution.Evidence)
		return &refusal{http.StatusServiceUnavailable, reasonOriginUnknown, originRetryAfter}
	}
	x.stream.version = resolution.Version
	x.stream.recorded = resolution.Certainty == origin.Recorded
	x.stream.isResuming = x.stream.recorded && x.front.resuming.begin(x.stream.key)
	return nil
}

// leavesOriginInDoubt reports whether the version that began a stream, of which there was no record, can't be
// concluded any more: the server of the attempt turned out to have restarted since its entry.
func (a *attempt) leavesOriginInDoubt(o direct.Outcome) bool {
	s := &a.x.stream
	if o != direct.Withheld || a.x.info.AfterEvent == "" || a.identity.incarnation != direct.OtherIncarnation || a.x.headSent || s.version == "" || s.recorded {
		return false
	}
	resolution := a.x.front.origins.Lookup(a.x.work, a.x.service, s.key)
	if resolution.Certainty != origin.Unknown && resolution.Version == s.version {
		return false
	}
	a.x.logOriginUnknown(a.x.info.firstAttempt(), resolution.Evidence)
	return true
}

// originInDoubt ends a request whose stream may have begun at another version.
func (x *exchange) originInDoubt() {
	if x.mayHaveRun.Load() {
		x.fail(reasonOriginUnknown)
		return
	}
	x.refuse(reasonOriginUnknown, originRetryAfter)
}

// resolveStart returns the version of a start of a server that began a stream before its entry came.
func (f *front) resolveStart(id string) origin.Resolution {
	if version, listed := f.listedVersion(id); listed {
		return origin.Resolution{Certainty: origin.Recorded, Version: version}
	}
	return origin.Resolution{Evidence: origin.VersionUnlisted}
}

// listedVersion returns the version of a server by its ID, if it is listed.
func (f *front) listedVersion(id string) (string, bool) {
	for _, s := range f.feeds.Servers.Newest().Servers {
		if s.ID == id {
			return s.Version, true
		}
	}
	return "", false
}

// logOriginUnknown logs why a stream is not resumed.
func (x *exchange) logOriginUnknown(attemptID string, e origin.Evidence) {
	if x.front.log.AllowFailure() {
		x.front.log.Event("origin_unknown").Str("request", x.info.ID).Str("resumes", attemptID).Str("why", e.String()).Msg("")
	}
}

// endResumption ends what resolveOrigin began.
func (x *exchange) endResumption() {
	if x.stream.isResuming {
		x.front.resuming.end(x.stream.key)
	}
}

// recordOrigin records which version serves the stream, before its caller gets an event.
func (x *exchange) recordOrigin(version string) {
	if x.stream.resumable {
		x.front.origins.Begun(x.service, origin.Record{Key: x.stream.key, Version: version, Lifetime: x.streamLifetime()})
	}
}

// holdOrigin reports whether a request may be sent: the version of its server is known, nobody can resume the
// stream, or other routers hold a record that its version is unknown.
func (a *attempt) holdOrigin() bool {
	if !a.x.stream.resumable || a.x.needsVersion() {
		return true
	}
	if version, _ := a.findVersion(); !direct.IsUnknownVersion(version) {
		return true
	}
	timeout := min(a.reportTimeout(), origin.LookupTimeout, a.timeLeft())
	a.identity.unheld = !a.x.front.origins.Hold(a.ctx, a.x.service, a.x.stream.key, a.x.streamLifetime(), timeout)
	return !a.identity.unheld
}

// bindToListed binds a new stream to the version in the entry of a server, and so to servers that are known to run
// the version of their entry.
func (x *exchange) bindToListed(a *attempt) {
	x.stream.version = a.cmd.Server.Version
	x.front.core.Update(direct.VersionMsg{ID: a.id, Version: x.stream.version})
	if x.front.log.AllowFailure() {
		x.describe(x.front.log.Event("origin_unheld")).Msg("")
	}
}

// streamLifetime returns how long the stream may be resumed: until its caller gives up, which may
// be later than the route's timeout for one attempt.
func (x *exchange) streamLifetime() time.Duration {
	callerDeadline := x.start + min(x.info.TimeLeft, origin.MaxLifetime)
	return max(x.deadline, callerDeadline) - x.front.core.Now() + resumeGrace
}

// forgetOrigin forgets a stream that its caller has received to the end.
func (x *exchange) forgetOrigin() {
	if x.stream.resumable {
		x.front.origins.Ended(x.stream.key)
	}
}

// resumingStreams holds the streams that are being resumed at this router. A stream is admitted like
// a retry only once at a time, so that its record does not admit other work of its team. The zero
// value is ready to use.
type resumingStreams struct {
	mu   sync.Mutex
	keys map[origin.Key]bool
}

// begin adds a stream and reports whether it was not being resumed already.
func (s *resumingStreams) begin(key origin.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] {
		return false
	}
	if s.keys == nil {
		s.keys = make(map[origin.Key]bool)
	}
	s.keys[key] = true
	return true
}

func (s *resumingStreams) end(key origin.Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.keys, key)
}
