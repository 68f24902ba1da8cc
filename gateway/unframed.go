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
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	return a.hasRestarted(conn)
}

// hasRestarted reports whether a new connection leads to another start of the server than that of the
// attempt. A server that does not tell its start has not restarted as far as is known.
func (a *attempt) hasRestarted(conn *backend.Conn) bool {
	earlier, told := a.conn.ServerStart()
	if a.x.front.dialect.ReportPath() == "" || !told && !a.cmd.Server.HasStart() {
		return false
	}
	err := a.askStart(conn)
	if err != nil && !errors.Is(err, backend.ErrClosing) {
		return false
	}
	now, tells := conn.ServerStart()
	if told && tells {
		return now != earlier
	}
	return matchStart(conn, &a.cmd.Server) == direct.OtherIncarnation
}
