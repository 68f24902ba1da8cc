package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/backend"
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

// reportTimeout returns how long the server may take for its report.
func (a *attempt) reportTimeout() time.Duration {
	if a.x.needsVersion() {
		return maxReportTime
	}
	objective := time.Duration(reportObjectives * float64(a.x.route.Objective))
	return min(max(objective, minReportTime), maxReportTime)
}

// serverReport is what a server has answered when it was asked for its report.
type serverReport struct {
	status int
	info   ResponseInfo
	start  int64 // valid if told
	told   bool
}

// readReport asks the server at the other end of a connection for its report. observe gets what each response head
// says, also those of late responses to earlier requests.
func (f *front) readReport(conn *backend.Conn, request *backend.Request, observe func(ResponseInfo)) (serverReport, error) {
	if err := conn.Send(request); err != nil {
		return serverReport{}, err
	}
	var report serverReport
	resp, err := conn.ReadResponse(http.MethodGet, func(h *http.Response) bool {
		report.info = f.dialect.ParseResponse(h.StatusCode, h.Header)
		observe(report.info)
		return report.info.RequestID == ""
	})
	if err != nil {
		return serverReport{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return serverReport{}, errReportUnfinished
	case len(body) > maxReportBytes:
		return serverReport{}, errReportTooLarge
	}
	report.status = resp.StatusCode
	report.start, report.told = f.dialect.ParseReport(body)
	report.told = report.told && resp.StatusCode == http.StatusOK
	return report, nil
}

// askStart asks the server for its report. It fails if the connection can't be used for another request.
func (a *attempt) askStart(conn *backend.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(min(timeout, a.timeLeft()))) // as in connect
	defer func() { _ = conn.SetDeadline(time.Now().Add(a.timeLeft())) }()
	request := &backend.Request{Method: http.MethodGet, Target: a.x.front.dialect.ReportPath(), Host: a.cmd.Server.Address}
	report, err := a.x.front.readReport(conn, request, a.applyNotice)
	if err != nil {
		return err
	}
	if report.told {
		conn.SetServerStart(report.start)
		a.x.front.tellers.add(a.x.service)
	}
	switch err := conn.EndExchange(); {
	case err != nil:
		return err
	case report.status == http.StatusTooManyRequests, report.status/100 == 5, !report.told && a.x.front.tellers.has(a.x.service):
		return errReportRefused
	}
	conn.MarkAsked()
	return nil
}
