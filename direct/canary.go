package direct

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// trialLeast is the least number of servers in a trial: one may be faulty by itself,
	// and of three the other two still tell of the version.
	minCanaryServers = 3
	// trialSeed seeds the rendezvous weights by which servers are chosen for a trial, so
	// that they differ from those of any part of a prompt.
	canarySeed = 0x7452_6961_6c53_6964
	// cohortsInHall is in how many cohorts the servers of one hall are told apart where
	// the target has no other: leaving out one of three leaves enough evidence.
	cohortsPerHall = 3
)

// openTargets returns the target's servers that take requests at the present stage, by id.
// All routers choose the same ones, by the servers' ids. A server that is ejected stays in
// the trial: what it answered is evidence. Servers that are leaving are used as a last
// resort only once old servers are closed: before that, the old ones serve.
func (g *gate) canaryServers(all []*server) []*server {
	var out []*server
	if g.Fraction <= 0 {
		return nil
	}
	for _, s := range all {
		if s.target && (g.oldVersionsClosed() || s.available()) {
			out = append(out, s)
		}
	}
	limit := max(int(math.Ceil(g.ServerFraction*float64(len(out)))), minCanaryServers)
	if g.ServerFraction >= 1 || limit >= len(out) {
		return out
	}
	slices.SortFunc(out, func(a, b *server) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(canarySeed, b), rendezvousWeight(canarySeed, a)), cmp.Compare(a.ID, b.ID))
	})
	out = cohortLeadersFirst(out)[:limit]
	sortByID(out)
	return out
}

// spreadOut puts the first server of each cohort before all others.
func cohortLeadersFirst(all []*server) []*server {
	oneHall := inOneHall(all)
	seen := make(map[string]bool)
	var leaders, rest []*server
	for _, s := range all {
		c := cohortOf(s, oneHall)
		if seen[c] {
			rest = append(rest, s)
			continue
		}
		seen[c] = true
		leaders = append(leaders, s)
	}
	return append(leaders, rest...)
}

// nameCohorts names for each server of a pool the cohort that its answers count for:
// servers that may fail together, and for reasons of their own.
func (p *pool) assignCohorts() {
	var present []*server
	for _, s := range p.all {
		if s.target && s.available() {
			present = append(present, s)
		}
	}
	oneHall := inOneHall(present)
	for _, s := range p.all {
		s.cohort = cohortOf(s, oneHall)
	}
}

// cohortOf returns the hall of a server, or, where the target has servers in a single
// hall only, a part of that hall's.
func cohortOf(s *server, oneHall bool) string {
	if !oneHall {
		return s.Zone
	}
	return fmt.Sprintf("%s/%d", s.Zone, s.loadKey%cohortsPerHall)
}

// inOneHall tells whether there are servers, all of them in one data hall.
func inOneHall(all []*server) bool {
	for _, s := range all {
		if s.Zone != all[0].Zone {
			return false
		}
	}
	return len(all) > 0
}
