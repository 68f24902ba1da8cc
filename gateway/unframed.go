package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
)

// unframedCheckTimeout bounds the check whether a server has crashed at the end of an unframed
// response. It delays the end of the caller's response.
const unframedCheckTimeout = 100 * time.Millisecond

// isUnframed reports whether the end of a response is the end of its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0
}

// endEvidence is what the check at the end of an unframed response has found out about its server.
type endEvidence int

const (
	endUnchecked endEvidence = iota
	hostRefuses              // its host refuses connections
	unreachable              // no connection could be opened for another reason
	accepts                  // its host accepts connections; nothing was asked
	noReport                 // its host accepts connections, and no report came
	startNotTold             // a process answers that does not tell its start
	sameStart                // the start that sent the response answers
	anotherStart             // another start answers
)

// String returns the name of the evidence for logs and metrics.
func (e endEvidence) String() string {
	return [...]string{"unchecked", "refused", "unreachable", "accepts", "no_report", "start_not_told", "same_start", "other_start"}[e]
}

// unframedEnd is the end of an unframed response. The zero value is that of a response that has not ended so.
type unframedEnd struct {
	checked  bool
	whole    bool
	evidence endEvidence
	took     time.Duration // of the check
}

// checkUnframedEnd returns io.EOF if an unframed response is whole. If it has no content, it ends at the
// deadline, at which servers cease to work, or its server has crashed, it returns io.ErrUnexpectedEOF.
func (a *attempt) checkUnframedEnd(hasContent bool) error {
	end := unframedEnd{checked: true}
	if hasContent && a.timeLeft() >= minTimeLeft {
		start := a.x.front.core.Now()
		end.evidence = a.findEndEvidence()
		end.took = a.x.front.core.Now() - start
		end.whole = end.evidence != hostRefuses && end.evidence != anotherStart
	}
	a.unframedEnd = end
	a.x.front.stats.UnframedEnd(end.evidence.String(), end.whole)
	a.logUnframedEnd()
	if !end.whole {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// findEndEvidence finds out what has become of the process that sent a response.
func (a *attempt) findEndEvidence() endEvidence {
	ctx, cancel := context.WithTimeout(a.ctx, unframedCheckTimeout)
	defer cancel()
	conn, err := a.x.front.pool.Dial(ctx, a.cmd.Server.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return hostRefuses
	case err != nil:
		return unreachable
	}
	defer conn.Close()
	return a.compareStart(conn)
}

// compareStart compares the start that a new connection leads to with those that were known when the request was
// sent.
func (a *attempt) compareStart(conn *backend.Conn) endEvidence {
	if a.x.front.dialect.ReportPath() == "" || a.identity.starts.areUnknown() {
		return accepts
	}
	err := a.askStart(conn, unframedCheckTimeout)
	if err != nil && !errors.Is(err, backend.ErrClosing) {
		return noReport
	}
	now, tells := conn.ServerStart()
	switch {
	case !tells:
		return startNotTold
	case a.identity.starts.include(now):
		return sameStart
	}
	return anotherStart
}

// knownStarts are the starts of a server that a router knows of. Its entry may be older than its process.
type knownStarts struct {
	entry   *direct.Server
	told    int64 // by the server itself
	hasTold bool
	onConn  bool // told on the connection of the request, so that it is the only one
}

// startsSoFar returns the starts of the server that are known now.
func (a *attempt) startsSoFar() knownStarts {
	known := knownStarts{entry: &a.cmd.Server}
	known.told, known.onConn = a.conn.ServerStart()
	known.hasTold = known.onConn
	if !known.onConn {
		known.told, known.hasTold = a.x.front.pool.LastStart(a.cmd.Server.Address)
	}
	return known
}

func (k knownStarts) areUnknown() bool { return !k.hasTold && !k.entry.TellsStart() }

// include reports whether a start is one of those known.
func (k knownStarts) include(millis int64) bool {
	return k.hasTold && k.told == millis || !k.onConn && k.entry.MatchStart(millis) != direct.OtherIncarnation
}
