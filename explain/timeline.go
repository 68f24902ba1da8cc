package explain

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknownRequest means that no log has a line on the request. Ordinary
// successes are sampled, so this is not necessarily a fault.
var ErrUnknownRequest = errors.New("no log line on this request: ordinary successes are logged for only one id in 32; pass the logs of all routers in the caller's hall")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// stateSubjects maps each event that reports a router's state to the subject of that state.
// A later event on the same subject replaces the earlier one.
var stateSubjects = map[string]string{
	"config_in_force": "configuration", "servers_listed": "servers", "vitals": "process", "shares": "shares",
	"start": "life", "reload": "settings", "evacuations_listed": "evacuated data halls",
}

// Timeline holds the log lines on one request, with the routers' state at the time of each.
type Timeline struct {
	Request string
	steps   []step
	// dropped counts the lines that each router had dropped by the end of its log.
	dropped map[string]float64
}

// step is a line on the request, with the latest lines on the router's state before it.
type step struct {
	logLine
	state []logLine
}

// Read reads the logs, given in any order, and returns the timeline of the request.
func Read(request string, logs ...io.Reader) (*Timeline, error) {
	var lines []logLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
		for scanner.Scan() {
			if l, ok := parseLine(scanner.Bytes()); ok {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "reading a log")
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	timeline := &Timeline{Request: request, dropped: make(map[string]float64)}
	latest := make(map[string]map[string]logLine) // by process and subject
	for _, l := range lines {
		if dropped, ok := l.fields["lines_dropped"].(float64); ok {
			timeline.dropped[l.Process] = dropped
		}
		if latest[l.Process] == nil {
			latest[l.Process] = make(map[string]logLine)
		}
		switch {
		case l.Request == request:
			timeline.steps = append(timeline.steps, step{logLine: l, state: timeline.stateFor(l, latest[l.Process])})
		case l.Request != "":
		case stateSubjects[l.Event] != "":
			latest[l.Process][stateSubjects[l.Event]] = l
		case l.Server != "":
			latest[l.Process]["server "+l.Server] = l
		case l.Event == "routers_lost" || l.Event == "routers_heard":
			latest[l.Process]["other routers"] = l
		case strings.HasPrefix(l.Event, "hall_"):
			latest[l.Process]["hall "+stringField(l.fields, "hall")] = l
		case isVersionEvent(l):
			recordVersions(l, latest[l.Process])
		case strings.HasPrefix(l.Event, "dependency_"):
			latest[l.Process]["dependency "+stringField(l.fields, "dependency")] = l
		}
	}
	if len(timeline.steps) == 0 {
		return nil, ErrUnknownRequest
	}
	return timeline, nil
}

// stateFor returns the state that is relevant to a line: its router's configuration, servers,
// shares and process, the server that it names, the versions of its service, and the data halls,
// dependencies and routers that are out of use.
func (t *Timeline) stateFor(l logLine, latest map[string]logLine) []logLine {
	var out []logLine
	for _, subject := range slices.Sorted(maps.Keys(latest)) {
		entry := latest[subject]
		switch {
		case strings.HasPrefix(subject, "server ") && subject != "server "+l.Server:
		case strings.HasPrefix(subject, "dependency ") && entry.Event != "dependency_lost":
		case strings.HasPrefix(subject, "hall ") && entry.Event != "hall_lost" && entry.Event != "hall_evacuated":
		case isVersionEvent(entry) && stringField(entry.fields, "service") != stringField(l.fields, "service"):
		case subject == "other routers" && entry.Event != "routers_lost":
		default:
			out = append(out, entry)
		}
	}
	return out
}

// Write writes a summary, then the lines in order of time, then warnings of missing lines.
func (t *Timeline) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s\nlog lines on this request: %d\n", t.summary()+t.versionSummary(), len(t.steps))
	begin := t.steps[0].Time
	for _, step := range t.steps {
		if err == nil {
			_, err = fmt.Fprintf(w, "\n%s (+%s) %s: %s\n    %s\n", step.Time.Format(time.RFC3339Nano),
				step.Time.Sub(begin).Round(time.Microsecond), step.Process, step.Event, fieldText(step.fields))
		}
		for _, entry := range step.state {
			if err == nil {
				_, err = fmt.Fprintf(w, "    %s ago: %s %s\n", step.Time.Sub(entry.Time).Round(time.Millisecond), entry.Event, fieldText(entry.fields))
			}
		}
	}
	for _, warning := range t.warnings() {
		if err == nil {
			_, err = fmt.Fprintf(w, "\n%s\n", warning)
		}
	}
	return err
}
