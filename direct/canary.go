package direct

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const (
	// minCanaryServers is the minimum number of servers in a canary. One of three may be faulty
	// by itself; the other two are still evidence about the version.
	minCanaryServers = 3
	// canarySeed seeds the rendezvous weights that select the servers of a canary, so that they
	// differ from those of any prompt part.
	canarySeed = 0x7452_6961_6c53_6964
	// cohortsPerHall is the number of cohorts that the servers of a hall are divided into if
	// the target version has servers in no other hall. If one of three cohorts is disregarded,
	// the other two still give enough evidence.
	cohortsPerHall = 3
)

// canaryServers returns the servers of the target version that get requests at the current
// stage, by ID. All routers select the same servers, by their IDs. An ejected server stays in
// the canary: its responses are evidence. Leaving servers serve as a last resort only once old
// servers are closed; before that, the old ones serve.
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

// cohortLeadersFirst moves the first server of each cohort to the front.
func cohortLeadersFirst(all []*server) []*server {
	oneHall := inOneHall(all)
	seen := make(map[string]bool)
	var leaders, rest []*server
	for _, s := range all {
		cohort := cohortOf(s, oneHall)
		if seen[cohort] {
			rest = append(rest, s)
			continue
		}
		seen[cohort] = true
		leaders = append(leaders, s)
	}
	return append(leaders, rest...)
}

// assignCohorts sets the cohort of each server of a pool. Servers of one cohort may fail
// together for reasons that have nothing to do with their version.
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

// cohortOf returns the hall of a server, or a part of the hall if the target version has
// servers in only one.
func cohortOf(s *server, oneHall bool) string {
	if !oneHall {
		return s.Zone
	}
	return fmt.Sprintf("%s/%d", s.Zone, s.loadKey%cohortsPerHall)
}

// inOneHall reports whether there are servers and all of them are in one data hall.
func inOneHall(all []*server) bool {
	for _, s := range all {
		if s.Zone != all[0].Zone {
			return false
		}
	}
	return len(all) > 0
}
