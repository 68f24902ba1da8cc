package gateway

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// unframedCheckTimeout bounds the check whether a server has crashed at the end of an unframed
// response. It delays the end of the caller's response.
const unframedCheckTimeout = 100 * time.Millisecond

// isUnframed reports whether the end of a response is the end of its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0
}

// checkUnframedEnd returns io.EOF if an unframed response is whole. If it has no content or its
// server has crashed, it returns io.ErrUnexpectedEOF.
func (a *attempt) checkUnframedEnd(hasContent bool) error {
	if !hasContent || a.serverRefuses() {
		return io.ErrUnexpectedEOF
	}
	a.unframed = true
	return io.EOF
}

// serverRefuses reports whether the server's host refuses connections, so that the server has
// crashed.
func (a *attempt) serverRefuses() bool {
	ctx, cancel := context.WithTimeout(a.ctx, unframedCheckTimeout)
	defer cancel()
	conn, err := a.x.front.pool.Dial(ctx, a.cmd.Server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
