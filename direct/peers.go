package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/croftvale/croftvale/loads"
)

// peer takes in what another router does at the moment.
func (m *Machine) peer(msg PeerReportMsg) {
	m.peers[msg.Peer] = peerReport{at: msg.Now, report: msg.Report}
	m.hearSuspects(msg.Now, msg.Report)
}

// forgetPeers drops the reports that no longer hold.
func (m *Machine) forgetPeers(now time.Duration) {
	for name, p := range m.peers {
		if now-p.at > m.hold {
			delete(m.peers, name)
		}
	}
}

// takeTeams takes in what all other routers see of teams.
func (m *Machine) takeTeams(msg PeerTeamsMsg) {
	m.teamsAt = msg.Now
	for _, t := range m.teams {
		t.others = loads.TeamUse{}
	}
	for _, u := range msg.Teams {
		m.team(u.Team).others = u
	}
}

// forgetTeams forgets the others' use of teams where nothing new has come for too long:
// first what they got, and later their demand too.
func (m *Machine) forgetTeams(now time.Duration) {
	if m.teamsAt == 0 || now-m.teamsAt <= loads.TeamsTTL {
		return
	}
	demand := now-m.teamsAt <= loads.TeamsTTL+loads.DemandTTL
	if !demand {
		m.teamsAt = 0
	}
	for _, t := range m.teams {
		left := loads.TeamUse{Team: t.others.Team}
		if demand {
			left.Offered = t.others.Offered
		}
		t.others = left
	}
}

// commonHeadroom returns the middle of what the routers that are heard take the
// headroom to be: shares that differ between routers would not be even.
func (m *Machine) commonHeadroom() float64 {
	headrooms := []float64{max(m.ownHeadroom, 1)}
	for _, p := range m.peers {
		if p.report.Headroom > 0 {
			headrooms = append(headrooms, p.report.Headroom)
		}
	}
	slices.Sort(headrooms)
	return headrooms[(len(headrooms)-1)/2]
}

// Report returns what this router does at the moment, for the others. What it has to tell of
// suspects is in a few reports.
func (m *Machine) Report(now time.Duration) Report {
	return Report{
		Headroom: m.ownHeadroom, Suspects: m.suspects.TakeReports(now, suspectsTold), SuspectsDigest: m.suspects.Digest(),
	}
}

// Teams returns what this router sees of teams.
func (m *Machine) Teams(now time.Duration) []loads.TeamUse {
	var out []loads.TeamUse
	for name, t := range m.teams {
		offered := t.offered.decay(now)
		if offered > activeRate {
			out = append(out, loads.TeamUse{
				Team: name, Offered: float32(offered), Recent: float32(t.recent.decay(now)), Served: float32(t.served.decay(now)),
			})
		}
	}
	slices.SortFunc(out, func(a, b loads.TeamUse) int { return strings.Compare(a.Team, b.Team) })
	return out
}
