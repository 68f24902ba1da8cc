package eventlog

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/quarantine"
)

// Evacuation logs the start or the end of the evacuation of a data hall.
func (l *Log) Evacuation(c direct.EvacuationCmd) {
	name := "hall_returned"
	if c.Evacuated {
		name = "hall_evacuated"
	}
	l.Event(name).Str("hall", c.Hall).Uint64("revision", c.Revision).Int("servers", c.Servers).Msg("")
}

// HallReachability logs that the servers of a data hall became unreachable, or reachable again.
func (l *Log) HallReachability(c direct.HallReachabilityCmd) {
	name := "hall_reached"
	if c.Lost {
		name = "hall_lost"
	}
	l.Event(name).Str("hall", c.Hall).Int("unreached", c.Unreached).Int("servers", c.Servers).Msg("")
}

// ServerStatus logs a change of a server's status in this router's view.
func (l *Log) ServerStatus(c direct.ServerStatusCmd) {
	if l.AllowServerStatus() {
		l.Event("server_"+string(c.Status)).Str("server", c.Server.ID).Str("service", c.Server.Service).
			Str("address", c.Server.Address).Str("version", c.Server.Version).Str("cause", c.Cause).Dur("for", c.For).Msg("")
	}
}

// UnreadableNotice logs that the notice in a server's response could not be parsed.
func (l *Log) UnreadableNotice(s direct.Server, err error) {
	if l.AllowServerStatus() {
		l.Event("answer_unreadable").Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
			Str("error", err.Error()).Msg("")
	}
}

// maxNamedSuspects is the maximum number of requests named on one line.
const maxNamedSuspects = 8

// Crash logs that a server has crashed, with the fingerprints and the shared prompt parts of some
// requests that it had just begun to run.
func (l *Log) Crash(c direct.CrashCmd) {
	if !l.AllowServerStatus() {
		return
	}
	contents := make([]string, 0, maxNamedSuspects)
	parts := make([]string, 0, maxNamedSuspects)
	for _, suspect := range c.Suspects[:min(len(c.Suspects), maxNamedSuspects)] {
		contents = append(contents, suspect.Fingerprint.String())
		parts = append(parts, PartList(suspect.Parts))
	}
	l.Event("server_crashed").Str("server", c.Server.ID).Str("service", c.Server.Service).Str("address", c.Server.Address).
		Int("suspects", len(c.Suspects)).Strs("contents", contents).Strs("parts", parts).Msg("")
}

// maxNamedParts is the maximum number of prompt parts named for one request.
const maxNamedParts = 8

// PartList returns the IDs of prompt parts in hexadecimal, separated by spaces. Of more than
// maxNamedParts parts, it returns the first ones and the number of the others.
func PartList(parts []direct.PromptPart) string {
	var out strings.Builder
	for i, part := range parts {
		if i == maxNamedParts {
			fmt.Fprintf(&out, " and %d more", len(parts)-i)
			break
		}
		if i > 0 {
			out.WriteByte(' ')
		}
		out.WriteString(strconv.FormatUint(part.ID, 16))
	}
	return out.String()
}

// Quarantine logs that requests with a content or a prompt part are refused from now on, or no longer.
func (l *Log) Quarantine(c quarantine.Change) {
	name := "quarantine_ended"
	if c.Barred {
		name = "quarantine_begun"
	}
	l.Event(name).Str(c.Kind.String(), c.Fingerprint.Text(c.Kind)).Int("crashes", c.Crashes).Msg("")
}

// Shares logs the capacity shares and the teams with the highest demand.
func (l *Log) Shares(s direct.Shares) {
	e := l.Event("shares").Float64("level", s.Level).Float64("headroom", s.Headroom).Float64("busy", s.Busy)
	if s.Even > 0 {
		e.Float64("even", s.Even)
	}
	e.Any("most", s.Most).Msg("")
}
