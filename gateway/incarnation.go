package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
)

const (
	// maxReportBytes bounds a server's report.
	maxReportBytes = 64 << 10
	// maxReportTime bounds the time that a server takes for its report. A sound server may be silent for a
	// second or so.
	maxReportTime = 2 * time.Second
	// maxIdentifyTries bounds the new connections on which a server that closes them is asked for its start.
	maxIdentifyTries = 2
)

// errReportTooLarge is returned for a report that exceeds its size limit.
var errReportTooLarge = errors.New("the report of the backend server exceeds its size limit")

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

// needsIncarnation reports whether it matters for the request which version its server runs. The entry of
// a server that has restarted may be older than its process.
func (a *attempt) needsIncarnation() bool {
	return a.x.route.Kind == direct.Stream && a.x.route.MayRepeat() && a.x.front.dialect.ReportPath() != ""
}

// identify finds out to which start of the server a connection leads. It asks the server once for each
// connection. An error means that the connection can't be used any more; the request has not been sent.
func (a *attempt) identify(conn *backend.Conn) error {
	if !a.needsIncarnation() {
		return nil
	}
	if !conn.HasBeenAsked() {
		a.watch.arm(a.firstEventTimeout())
		if err := a.askStart(conn); err != nil {
			return err
		}
	}
	a.incarnation = matchStart(conn, &a.cmd.Server)
	a.x.front.stats.ServerIdentified(a.incarnation)
	if a.incarnation == direct.OtherIncarnation {
		a.logOtherStart(conn)
	}
	a.x.front.core.Update(direct.IncarnationMsg{Now: a.x.front.core.Now(), ID: a.id, Incarnation: a.incarnation, NewConn: !conn.IsReused()})
	return nil
}

// mayAdoptStart reports whether the request may be sent on a new connection to a server that has sent its report
// on another one and closed that. A stream that has begun goes on only where the server has told its start.
func (a *attempt) mayAdoptStart(closed *backend.Conn) bool {
	_, told := closed.ServerStart()
	return !told || !a.x.needsVersion()
}

// askStart asks the server for its report, within maxReportTime. It fails if the connection can't be used for
// another request.
func (a *attempt) askStart(conn *backend.Conn) error {
	dialect := a.x.front.dialect
	conn.MarkAsked()
	_ = conn.SetDeadline(time.Now().Add(min(maxReportTime, a.timeLeft()))) // as in connect
	defer func() { _ = conn.SetDeadline(time.Now().Add(a.timeLeft())) }()
	if err := conn.Send(&backend.Request{Method: http.MethodGet, Target: dialect.ReportPath(), Host: a.cmd.Server.Address}); err != nil {
		return err
	}
	resp, err := conn.ReadResponse(http.MethodGet, func(h *http.Response) bool {
		return dialect.ParseResponse(h.StatusCode, h.Header).RequestID == ""
	})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return err
	case len(body) > maxReportBytes:
		return errReportTooLarge
	}
	if millis, ok := dialect.ParseReport(body); ok && resp.StatusCode == http.StatusOK {
		conn.SetServerStart(millis)
	}
	return conn.EndExchange()
}

// serverVersion returns the version of the server that the connection leads to, or direct.UnknownVersion.
func (a *attempt) serverVersion() string {
	if a.incarnation != direct.OtherIncarnation {
		return a.cmd.Server.Version
	}
	for _, s := range a.x.front.feeds.Servers.Newest().Servers {
		if s.Name() == a.cmd.Server.Name() && matchStart(a.conn, &s) == direct.SameIncarnation {
			return s.Version // its entry has come since
		}
	}
	return direct.UnknownVersion
}
