package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/croftvale/croftvale/direct"
	"github.com/croftvale/croftvale/gateway"
	"github.com/croftvale/croftvale/rollout"
)

// shownTo is how exactly times are printed: an operator compares them with seconds.
const shownTo = 100 * time.Millisecond

// none stands for an empty list in a cell, so that columns stay apart for other programs.
const none = "-"

// writeGateway prints the dump of a router on the users' platform as tables.
func writeGateway(to io.Writer, s gateway.State) error {
	_, err := fmt.Fprintf(to, "router %s: %d requests, %d other routers, %d log lines dropped\n"+
		"configuration %d (in force for %s), servers %d, evacuations %d, orders %d, versions %d\n"+
		"evacuated halls: %s\n",
		s.Name, s.Active, len(s.Peers), s.Dropped,
		s.Config, shown(s.ConfigAge), s.Servers, s.Evacuations, s.Orders, s.Versions,
		list(s.EvacuatedHalls))
	if err != nil {
		return errors.Wrap(err, "print state")
	}
	for _, t := range []*table{
		versionsTable(s), rolloutsTable(s), evidenceTable(s), serversTable(s), suspectsTable(s), teamsTable(s.Shares), trafficTable(s),
	} {
		if err := t.write(to); err != nil {
			return err
		}
	}
	return nil
}

func versionsTable(s gateway.State) *table {
	t := newTable("versions", "service", "in use", "rolled back")
	for _, r := range s.Rollouts {
		t.add(r.Service, list(r.InUse), list(r.Rejected))
	}
	return t
}

func rolloutsTable(s gateway.State) *table {
	t := newTable("roll-outs", "service", "target", "stage", "part", "age", "of", "verdict", "stopped", "routers", "leads", "waits for")
	for _, r := range s.Rollouts {
		if r.Target != "" || r.WaitsFor == rollout.WaitOrder.String() {
			t.add(r.Service, cmp.Or(r.Target, none), r.Stage, fmt.Sprintf("%.3f", r.Part), shown(r.Age), shown(r.Within), r.Verdict,
				stopText(r), r.Routers, yes(r.Leads), r.WaitsFor)
		}
	}
	return t
}

// stopText says whether the target is closed: for good, for a time, or not.
func stopText(r gateway.RolloutState) string {
	switch {
	case r.Rejecting:
		return "for good: " + r.Cause
	case r.Stopped:
		return "for a time"
	}
	return "no"
}

func evidenceTable(s gateway.State) *table {
	t := newTable("answers during roll-outs", "service", "route", "target good", "bad", "old good", "bad")
	for _, r := range s.Rollouts {
		for _, e := range r.Routes {
			t.add(r.Service, e.Route, e.New.Good, e.New.Bad, e.Old.Good, e.Old.Bad)
		}
	}
	return t
}

func serversTable(s gateway.State) *table {
	t := newTable("servers", "server", "service", "version", "hall", "running", "slots", "pending tokens", "new requests")
	for _, e := range s.Engines {
		t.add(e.ID, e.Service, cmp.Or(e.Version, none), cmp.Or(e.Zone, none), e.Running, e.Slots, e.Pending, getsText(e, s.Rollouts))
	}
	return t
}

// getsText says whether a server gets new requests, and if not, why.
func getsText(e direct.ServerState, rollouts []gateway.RolloutState) string {
	var why []string
	for _, cause := range []struct {
		holds bool
		text  string
	}{
		{e.Leaving, "draining"},
		{e.Evacuated, "hall evacuated"},
		{e.HallLost, "hall lost"},
		{e.BackoffFor > 0, "asked to back off, " + shown(e.BackoffFor).String() + " more"},
		{e.Barred, barredText(e, rollouts)},
	} {
		if cause.holds {
			why = append(why, cause.text)
		}
	}
	switch {
	case len(why) > 0:
		return "none: " + strings.Join(why, ", ")
	case e.Probation:
		return "one at a time, since it was ejected"
	case !e.Usable:
		return "none: ejected"
	case e.ColdFor > 0:
		return "few: cold for " + shown(e.ColdFor).String()
	}
	return "yes"
}

// barredText says why a server of this version gets nothing.
func barredText(e direct.ServerState, rollouts []gateway.RolloutState) string {
	i := slices.IndexFunc(rollouts, func(r gateway.RolloutState) bool { return r.Service == e.Service })
	if i < 0 {
		return "versions not known yet"
	}
	switch r := rollouts[i]; {
	case r.InUse == nil:
		return "versions not known yet"
	case e.Version == r.Target && r.Part == 0:
		return "the roll-out sends nothing to its version now"
	case e.Version == r.Target:
		return "takes no part in this stage"
	case slices.Contains(r.InUse, e.Version):
		return "requests have moved to " + r.Target
	case slices.Contains(r.Rejected, e.Version):
		return "version rolled back"
	}
	return "version not ordered"
}

func suspectsTable(s gateway.State) *table {
	t := newTable("requests and parts of prompts under which servers crashed", "kind", "content or part", "crashes", "refused", "in the store", "last")
	for _, x := range s.Suspects {
		t.add(x.Kind, x.Content, x.Crashes, yes(x.Barred), yes(x.Recorded), shown(x.Known).String()+" ago")
	}
	return t
}

func teamsTable(s direct.Shares) *table {
	title := fmt.Sprintf("teams that ask for most, tokens/s (level %.0f, even %.0f, headroom %.3g, busy %.3g)", s.Level, s.Even, s.Headroom, s.Busy)
	t := newTable(title, "team", "asks for", "gets")
	for _, m := range s.Most {
		t.add(m.Team, fmt.Sprintf("%.0f", m.Offered), fmt.Sprintf("%.0f", m.Served))
	}
	return t
}

func trafficTable(s gateway.State) *table {
	t := newTable("bytes since the start", "kind", "within the hall", "between halls", "between regions")
	for _, kind := range slices.Sorted(maps.Keys(s.Traffic)) {
		sum := s.Traffic[kind]
		t.add(kind, sum.WithinHall, sum.BetweenHalls, sum.BetweenRegions)
	}
	return t
}

func shown(d time.Duration) time.Duration { return d.Round(shownTo) }

func list(words []string) string { return cmp.Or(strings.Join(words, ","), none) }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
