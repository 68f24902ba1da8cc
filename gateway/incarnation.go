package gateway

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
)

const (
	// maxReportBytes bounds a server's report.
	maxReportBytes = 64 << 10
	// maxReportTime bounds the time that a server takes for its report. A sound server may be silent for
	// a second or so.
	maxReportTime = 2 * time.Second
	// minReportTime and reportObjectives bound it for a new stream, which any start of the server may
	// serve; reportObjectives is a fraction of the route's objective.
	minReportTime    = 100 * time.Millisecond
	reportObjectives = 0.5
)

// errReportRefused is returned if a server that should tell its start doesn't.
var errReportRefused = errors.New("the backend server did not tell its start")

// errFormerStart is returned for a pooled connection that leads to another start of the server than its entry
// names, such as a former process that ends what it has.
var errFormerStart = errors.New("the connection leads to another start of the backend server")

// errReportUnfinished is returned for a report that does not end, or breaks off.
var errReportUnfinished = errors.New("the report of the backend server did not end")

// errReportTooLarge is returned for a report that exceeds its size limit.
var errReportTooLarge = errors.New("the report of the backend server exceeds its size limit")

// startTellers are the services of which a server has told its start. The zero value is ready to use.
type startTellers struct{ services sync.Map }

func (t *startTellers) add(service string) { t.services.Store(service, true) }

func (t *startTellers) has(service string) bool {
	_, ok := t.services.Load(service)
	return ok
}

// getConn returns a connection to the server. A request that needs a version gets none that leads to
// another start of the server than its entry names, unless it is new.
func (a *attempt) getConn() (*backend.Conn, error) {
	for {
		conn, err := a.x.front.pool.Get(a.ctx, a.cmd.Server.Address)
		if err != nil || !a.x.needsVersion() || !conn.IsReused() || matchStart(conn, &a.cmd.Server) != direct.OtherIncarnation {
			return conn, err
		}
		conn.Close()
	}
}

// matchStart compares the start that a server has told on a connection with that of an entry.
func matchStart(conn *backend.Conn, entry *direct.Server) direct.Incarnation {
	millis, told := conn.ServerStart()
	if !told {
		return direct.UnknownIncarnation
	}
	return entry.MatchStart(millis)
}

// needsVersion reports whether only servers of the version that began the stream may continue it.
func (x *exchange) needsVersion() bool { return x.stream.version != "" || x.headSent }

// needsIncarnation reports whether it matters for the request which version its server runs, and whether
// that can be found out. The entry of a server that has restarted may be older than its process.
func (a *attempt) needsIncarnation() bool {
	return a.x.route.Kind == direct.Stream && (a.x.route.MayRepeat() || a.x.needsVersion()) &&
		a.cmd.Server.TellsStart() && a.x.front.dialect.ReportPath() != ""
}

// identify finds out to which start of the server a connection leads. It asks the server once for each
// connection. An error means that the connection can't be used any more; the request has not been sent.
func (a *attempt) identify(conn *backend.Conn) error {
	if !a.needsIncarnation() || a.versionInDoubt || a.skipsReport {
		return nil
	}
	if a.told != nil {
		conn.SetServerStart(*a.told)
	}
	if !conn.HasBeenAsked() {
		a.watch.arm(a.firstEventTimeout())
		err := a.askStart(conn, a.reportTimeout())
		if errors.Is(err, errReportRefused) && !a.x.needsVersion() {
			a.versionInDoubt = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	a.incarnation = matchStart(conn, &a.cmd.Server)
	if a.incarnation == direct.OtherIncarnation && conn.IsReused() && a.x.needsVersion() {
		return errFormerStart
	}
	a.x.front.stats.ServerIdentified(a.incarnation)
	if a.incarnation == direct.OtherIncarnation {
		a.logOtherStart(conn)
	}
	a.x.front.core.Update(direct.IncarnationMsg{Now: a.x.front.core.Now(), ID: a.id, Incarnation: a.incarnation, NewConn: !conn.IsReused()})
	return nil
}

// leadsToNextStart reports whether the server is known to have restarted since its entry: a new connection
// leads to another start.
func (a *attempt) leadsToNextStart() bool {
	return a.incarnation == direct.OtherIncarnation && !a.conn.IsReused()
}

// mayConnectAgain reports whether to try another connection to the server after it was not identified on
// one.
func (a *attempt) mayConnectAgain(conn *backend.Conn, err error) bool {
	millis, told := conn.ServerStart()
	switch {
	case conn.IsReused(): // the server may close idle connections
		return true
	case errors.Is(err, backend.ErrClosing) && told:
		a.told = &millis
		return true
	case errors.Is(err, backend.ErrClosing) && !a.x.front.tellers.has(a.x.service):
		a.skipsReport = true
		return true
	case errors.Is(err, os.ErrDeadlineExceeded) && !conn.HasUnfinished() && !a.x.needsVersion():
		a.versionInDoubt = true
		return true
	}
	return false
}

// reportTimeout returns how long the server may take for its report.
func (a *attempt) reportTimeout() time.Duration {
	if a.x.needsVersion() {
		return maxReportTime
	}
	objective := time.Duration(reportObjectives * float64(a.x.route.Objective))
	return min(max(objective, minReportTime), maxReportTime)
}

// askStart asks the server for its report. It fails if the connection can't be used for another request.
func (a *attempt) askStart(conn *backend.Conn, timeout time.Duration) error {
	dialect := a.x.front.dialect
	_ = conn.SetDeadline(time.Now().Add(min(timeout, a.timeLeft()))) // as in connect
	defer func() { _ = conn.SetDeadline(time.Now().Add(a.timeLeft())) }()
	if err := conn.Send(&backend.Request{Method: http.MethodGet, Target: dialect.ReportPath(), Host: a.cmd.Server.Address}); err != nil {
		return err
	}
	resp, err := conn.ReadResponse(http.MethodGet, func(h *http.Response) bool {
		info := dialect.ParseResponse(h.StatusCode, h.Header)
		a.applyNotice(info)
		return info.RequestID == ""
	})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return errReportUnfinished
	case len(body) > maxReportBytes:
		return errReportTooLarge
	}
	millis, told := dialect.ParseReport(body)
	if told = told && resp.StatusCode == http.StatusOK; told {
		conn.SetServerStart(millis)
		a.x.front.tellers.add(a.x.service)
	}
	switch err := conn.EndExchange(); {
	case err != nil:
		return err
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode/100 == 5, !told && a.x.front.tellers.has(a.x.service):
		return errReportRefused
	}
	conn.MarkAsked()
	return nil
}

// serverVersion returns the version of the server that the connection leads to; one for which
// direct.IsUnknownVersion reports true if no entry tells it.
func (a *attempt) serverVersion() string {
	millis, told := a.conn.ServerStart()
	switch {
	case a.versionInDoubt:
		return direct.UnknownVersion
	case a.incarnation != direct.OtherIncarnation || !told:
		return a.cmd.Server.Version
	}
	a.listRevision = a.x.front.feeds.Servers.Revision()
	unlisted := direct.UnlistedVersion(a.cmd.Server.Name(), millis)
	if version, listed := a.x.front.listedVersion(direct.UnlistedID(unlisted)); listed {
		return version // its entry has come since
	}
	a.versionPending = true
	return unlisted
}

// resolveVersion looks the version of a server up again if its entry may have come since its first event.
func (a *attempt) resolveVersion() {
	if !a.versionPending || a.x.front.feeds.Servers.Revision() == a.listRevision {
		return
	}
	a.versionPending = false
	if version := a.serverVersion(); !direct.IsUnknownVersion(version) {
		a.x.front.core.Update(direct.VersionMsg{ID: a.id, Version: version})
		a.x.recordOrigin(version)
	}
}
