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

// checkUnframedEnd returns io.EOF if an unframed response is whole. If it has no content, it ends at the
// deadline, at which servers cease to work, or its server has crashed, it returns io.ErrUnexpectedEOF.
func (a *attempt) checkUnframedEnd(hasContent bool) error {
	if !hasContent || a.timeLeft() < minTimeLeft || a.serverHasEnded() {
		return io.ErrUnexpectedEOF
	}
	a.unframed = true
	return io.EOF
}

// serverHasEnded reports whether the process that sent a response has ended: its host refuses connections,
// or another process serves at its address.
func (a *attempt) serverHasEnded() bool {
	ctx, cancel := context.WithTimeout(a.ctx, unframedCheckTimeout)
	defer cancel()
	conn, err := a.x.front.pool.Dial(ctx, a.cmd.Server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer conn.Close()
	return a.hasRestarted(conn)
}

// hasRestarted reports whether a new connection leads to a start of the server that was not known when the
// request was sent. A server that does not tell its start has not restarted as far as is known.
func (a *attempt) hasRestarted(conn *backend.Conn) bool {
	if a.x.front.dialect.ReportPath() == "" || a.identity.starts.areUnknown() {
		return false
	}
	err := a.askStart(conn, unframedCheckTimeout)
	if err != nil && !errors.Is(err, backend.ErrClosing) {
		return false
	}
	now, tells := conn.ServerStart()
	return tells && !a.identity.starts.include(now)
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
