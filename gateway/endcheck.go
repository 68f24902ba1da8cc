package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
)

const (
	// endHedgeDelay is the time without an answer after which a server is asked again at the end of a response, on
	// another connection. It doubles each time.
	endHedgeDelay = 50 * time.Millisecond
	// maxEndQuestions bounds how often it is asked.
	maxEndQuestions = 4
)

// endAnswer is what a server has answered after the end of a response.
type endAnswer struct {
	serverReport
	err error
}

// askAfterEnd asks the server of a response that has ended whether it still answers. If it doesn't, or another one
// does, it returns evidence of that.
func (a *attempt) askAfterEnd() (endAnswer, endEvidence) {
	ctx, cancel := context.WithTimeout(a.ctx, a.endCheckLimit())
	defer cancel()
	answers := make(chan endAnswer, maxEndQuestions)
	ask := func(connect func(context.Context, string) (*backend.Conn, error)) {
		go func() { answers <- a.x.front.askServer(ctx, connect, a.cmd.Server.Address, a.cmd.Server.Name()) }()
	}
	pool := a.x.front.pool
	ask(pool.Get)
	delay := endHedgeDelay
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	for asked, failed := 1, 0; failed < maxEndQuestions; {
		select {
		case <-ctx.Done():
			return endAnswer{}, noAnswer
		case <-hedge.C:
			a.yieldWitness()
			if asked < maxEndQuestions {
				asked++
				ask(pool.Dial)
				delay *= 2
				hedge.Reset(delay)
			}
		case answer := <-answers:
			switch {
			case errors.Is(answer.err, syscall.ECONNREFUSED):
				return endAnswer{}, hostRefuses
			case answer.err != nil, isFromGateway(answer.status):
				failed++
			case answer.info.WrongServer:
				return endAnswer{}, anotherStart
			default:
				return answer, endUnchecked
			}
		}
	}
	return endAnswer{}, noAnswer
}

// isFromGateway reports whether a status is that of something in front of a server which does not respond.
func isFromGateway(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// askServer asks a server for its report on a connection. Any response of it counts as an answer, whatever its status.
func (f *front) askServer(ctx context.Context, connect func(context.Context, string) (*backend.Conn, error), address, name string) endAnswer {
	conn, err := connect(ctx, address)
	if err != nil {
		return endAnswer{err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	var answer endAnswer
	if f.dialect.ReportPath() != "" {
		request := &backend.Request{Method: http.MethodGet, Target: f.dialect.ReportPath(), Host: address, Header: f.dialect.ReportHeader(name)}
		answer.serverReport, answer.err = f.readReport(conn, request, func(ResponseInfo) {})
	}
	if !stop() || answer.err != nil {
		conn.Close()
		return answer
	}
	conn.Release()
	return answer
}
