package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
	"github.com/croftvale/croftvale/direct"
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
func (a *attempt) askAfterEnd(endedAt time.Time) (endAnswer, endEvidence) {
	ctx, cancel := context.WithTimeout(a.ctx, a.endCheckLimit())
	defer cancel()
	answers := make(chan endAnswer, maxEndQuestions)
	ask := func(connect connector) {
		go func() { answers <- a.x.front.askServer(ctx, connect, &a.cmd.Server) }()
	}
	ask(a.x.front.pooledConn)
	delay := endHedgeDelay
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	for asked, failed := 1, 0; failed < maxEndQuestions; {
		select {
		case <-ctx.Done():
			return endAnswer{}, noAnswer
		case <-hedge.C:
			a.unframed.yield(endedAt)
			if asked < maxEndQuestions {
				asked++
				ask(a.x.front.newConn)
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

// connector returns a connection to a server.
type connector func(context.Context, *direct.Server) (*backend.Conn, error)

func (f *front) pooledConn(ctx context.Context, s *direct.Server) (*backend.Conn, error) {
	return f.pool.Get(ctx, s.Address, s.ID)
}

func (f *front) newConn(ctx context.Context, s *direct.Server) (*backend.Conn, error) {
	return f.pool.Dial(ctx, s.Address)
}

// askServer asks a server for its report on a connection. Any response of it counts as an answer, whatever its status.
func (f *front) askServer(ctx context.Context, connect connector, s *direct.Server) endAnswer {
	conn, err := connect(ctx, s)
	if err != nil {
		return endAnswer{err: err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	var answer endAnswer
	if f.dialect.ReportPath() != "" {
		request := &backend.Request{Method: http.MethodGet, Target: f.dialect.ReportPath(), Host: s.Address, Header: f.dialect.ReportHeader(s.Name())}
		answer.serverReport, answer.err = f.readReport(conn, request, func(ResponseInfo) {})
	}
	if answer.err == nil && answer.told {
		conn.SetServerStart(answer.start)
	}
	if !stop() || answer.err != nil {
		conn.Close()
		return answer
	}
	conn.Release()
	return answer
}
