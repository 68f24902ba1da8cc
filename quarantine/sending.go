package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// provenReportDelay is how long the first crash under a part that has had whole responses is not
// reported.
const provenReportDelay = 250 * time.Millisecond

// TakeReports returns up to limit reports to send to other routers: first those with the most
// crashes, then those with the latest update. With each suspect go the barred ones that may explain its
// crashes: a router that has just started and knows nothing of them would bar the suspect.
func (s *Suspects) TakeReports(now time.Duration, limit int) []Report {
	s.refresh()
	taken := make(map[*suspect]bool)
	var out []Report
	for _, x := range s.dueSuspects(now) {
		group := s.withCauses(x, taken)
		if len(out) > 0 && len(out)+len(group) > limit {
			break
		}
		for _, member := range group[:min(len(group), limit)] {
			taken[member] = true
			out = append(out, s.takeReport(now, member))
		}
	}
	return out
}

// dueSuspects returns the suspects to report, the most important first.
func (s *Suspects) dueSuspects(now time.Duration) []*suspect {
	var due []*suspect
	for _, x := range s.byFingerprint {
		if x.sendsLeft > 0 && !s.mayClearSoon(now, x) {
			due = append(due, x)
		}
	}
	slices.SortFunc(due, func(a, b *suspect) int {
		return cmp.Or(-cmp.Compare(len(a.crashes), len(b.crashes)), -cmp.Compare(a.lastUpdate(), b.lastUpdate()), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	return due
}

// withCauses returns a suspect and the barred ones that were on the servers that crashed under it, without
// those already taken. Barred contents among them become due in the state of contents.
func (s *Suspects) withCauses(x *suspect, taken map[*suspect]bool) []*suspect {
	var group []*suspect
	if !taken[x] {
		group = append(group, x)
	}
	for _, c := range x.crashes {
		for _, other := range s.byServer[c.server] {
			if other.barred && !taken[other] && !slices.Contains(group, other) {
				group = append(group, other)
			}
		}
		s.requeueBarredContents(c.server)
	}
	return group
}

// requeueBarredContents makes the barred contents due that were on a server that crashed.
func (s *Suspects) requeueBarredContents(server Server) {
	if s.contents == nil {
		return
	}
	for _, x := range s.contents.byServer[server] {
		if x.barred {
			x.sendsLeft = max(x.sendsLeft, 1)
		}
	}
}

// takeReport returns the report of a suspect and counts it as sent.
func (s *Suspects) takeReport(now time.Duration, x *suspect) Report {
	x.sendsLeft = max(x.sendsLeft-1, 0)
	x.established = x.established || s.kind == Part && s.isUnproven(x)
	x.refusedReported = x.refused
	return x.report(now)
}

// mayClearSoon reports whether a crash under a part is so recent that a whole response, which most
// parts have all the time, is likely to clear it before other routers need to know.
func (s *Suspects) mayClearSoon(now time.Duration, x *suspect) bool {
	return s.kind == Part && !s.isUnproven(x) && len(x.crashes) == 1 && now-x.crashes[0].at < provenReportDelay
}
