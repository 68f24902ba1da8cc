package gateway

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
)

// errFormerStart is returned for a pooled connection that leads to another start of the server than its entry
// names, such as a former process that ends what it has.
var errFormerStart = errors.New("the connection leads to another start of the backend server")

// identity is what an attempt knows of the process at the other end of its connection.
type identity struct {
	incarnation    direct.Incarnation // whether it is the start of the server that its entry names
	skipsReport    bool               // the server closes connections after a report without a start
	toldStart      *int64             // told on a connection that the server has closed since
	versionInDoubt bool               // the server has not told its start as it should
	unheld         bool               // no other router holds the record of a stream of unknown version
	versionPending bool               // the caller gets events of a start that is not listed yet
	listRevision   uint64             // of the list of servers in which it was last looked up
	starts         knownStarts        // of the server, before the request was sent
}

// getConn returns a connection to the server. A request that needs a version gets none that leads to
// another start of the server than its entry names, unless it is new.
func (a *attempt) getConn() (*backend.Conn, error) {
	for {
		conn, err := a.x.front.pool.Get(a.ctx, a.cmd.Server.Address, a.cmd.Server.ID)
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
	if !a.needsIncarnation() || a.identity.versionInDoubt || a.identity.skipsReport {
		return nil
	}
	if a.identity.toldStart != nil {
		conn.SetServerStart(*a.identity.toldStart)
	}
	if !conn.HasBeenAsked() {
		a.watch.arm(a.firstEventTimeout())
		err := a.askStart(conn, a.reportTimeout())
		if errors.Is(err, errReportRefused) && !a.x.needsVersion() {
			a.identity.versionInDoubt = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	a.identity.incarnation = matchStart(conn, &a.cmd.Server)
	if a.identity.incarnation == direct.OtherIncarnation && conn.IsReused() && a.x.needsVersion() {
		return errFormerStart
	}
	a.x.front.stats.ServerIdentified(a.identity.incarnation)
	if a.identity.incarnation == direct.OtherIncarnation {
		a.logOtherStart(conn)
		a.recordUnlisted(conn)
	}
	a.x.front.core.Update(direct.IncarnationMsg{Now: a.x.front.core.Now(), ID: a.id, Incarnation: a.identity.incarnation, NewConn: !conn.IsReused()})
	return nil
}

// recordUnlisted records that a new connection leads to a start of the server that no entry names.
func (a *attempt) recordUnlisted(conn *backend.Conn) {
	millis, told := conn.ServerStart()
	if !told || conn.IsReused() {
		return
	}
	start := direct.UnlistedID(direct.UnlistedVersion(a.cmd.Server.Name(), millis))
	if _, listed := a.x.front.listedVersion(start); !listed {
		a.x.front.origins.MetUnlisted(a.x.service, start)
	}
}

// leadsToNextStart reports whether the server is known to have restarted since its entry: a new connection
// leads to another start.
func (a *attempt) leadsToNextStart() bool {
	return a.identity.incarnation == direct.OtherIncarnation && !a.conn.IsReused()
}

// mayConnectAgain reports whether to try another connection to the server after it was not identified on
// one.
func (a *attempt) mayConnectAgain(conn *backend.Conn, err error) bool {
	millis, told := conn.ServerStart()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && (conn.HasUnfinished() || a.x.needsVersion()):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded): // it is silent, which is no reason to leave it
		a.identity.versionInDoubt = true
		return true
	case conn.IsReused(): // the server may close idle connections
		return true
	case errors.Is(err, backend.ErrClosing) && told:
		a.identity.toldStart = &millis
		return true
	case errors.Is(err, backend.ErrClosing) && !a.x.front.tellers.has(a.x.service):
		a.identity.skipsReport = true
		return true
	}
	return false
}

// serverVersion returns the version of the server that the connection leads to; one for which
// direct.IsUnknownVersion reports true if no entry tells it.
func (a *attempt) serverVersion() string {
	a.identity.listRevision = a.x.front.feeds.Servers.Revision()
	version, pending := a.findVersion()
	a.identity.versionPending = pending
	return version
}

// findVersion returns the version of the server that the connection leads to, and whether its entry may still come.
func (a *attempt) findVersion() (version string, pending bool) {
	millis, told := a.conn.ServerStart()
	switch {
	case a.identity.versionInDoubt:
		return direct.UnknownVersion, false
	case a.identity.incarnation != direct.OtherIncarnation || !told:
		return a.cmd.Server.Version, false
	}
	unlisted := direct.UnlistedVersion(a.cmd.Server.Name(), millis)
	if version, listed := a.x.front.listedVersion(direct.UnlistedID(unlisted)); listed {
		return version, false // its entry has come since
	}
	return unlisted, true
}

// resolveVersion looks the version of a server up again if its entry may have come since its first event.
func (a *attempt) resolveVersion() {
	if !a.identity.versionPending || a.x.front.feeds.Servers.Revision() == a.identity.listRevision {
		return
	}
	a.identity.versionPending = false
	if version := a.serverVersion(); !direct.IsUnknownVersion(version) {
		a.x.front.core.Update(direct.VersionMsg{ID: a.id, Version: version})
		a.x.recordOrigin(version)
	}
}
