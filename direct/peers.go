package direct

import (
	"slices"
	"strings"
	"time"

	"github.com/croftvale/croftvale/loads"
	"github.com/croftvale/croftvale/quarantine"
)

// recordPeerReport records the current report of another router.
func (m *Machine) recordPeerReport(msg PeerReportMsg) {
	m.peerReports[msg.Peer] = peerReport{at: msg.Now, report: msg.Report}
	m.mergeSuspects(msg.Now, msg.Report)
}

// expirePeerReports drops the reports that are older than the report TTL.
func (m *Machine) expirePeerReports(now time.Duration) {
	for name, p := range m.peerReports {
		if now-p.at > m.reportTTL {
			delete(m.peerReports, name)
		}
	}
}

// setPeerTeams replaces the demand and use of teams at the other routers.
func (m *Machine) setPeerTeams(msg PeerTeamsMsg) {
	m.peerTeamsAt = msg.Now
	for _, t := range m.teams {
		t.peers = loads.TeamUse{}
	}
	for _, u := range msg.Teams {
		m.team(u.Team).peers = u
	}
}

// expirePeerTeams clears the other routers' figures of teams once no update has come for too
// long: first what teams get, and after a longer time their demand too.
func (m *Machine) expirePeerTeams(now time.Duration) {
	if m.peerTeamsAt == 0 || now-m.peerTeamsAt <= loads.TeamsTTL {
		return
	}
	keepDemand := now-m.peerTeamsAt <= loads.TeamsTTL+loads.DemandTTL
	if !keepDemand {
		m.peerTeamsAt = 0
	}
	for _, t := range m.teams {
		remaining := loads.TeamUse{Team: t.peers.Team}
		if keepDemand {
			remaining.Offered = t.peers.Offered
		}
		t.peers = remaining
	}
}

// medianHeadroom returns the median of the headroom estimates of this router and its peers.
// With a different headroom at each router, the shares would be uneven.
func (m *Machine) medianHeadroom() float64 {
	headrooms := []float64{max(m.ownHeadroom, 1)}
	for _, p := range m.peerReports {
		if p.report.Headroom > 0 {
			headrooms = append(headrooms, p.report.Headroom)
		}
	}
	slices.Sort(headrooms)
	return headrooms[(len(headrooms)-1)/2]
}

// Report returns this router's current report for the others. Each suspect is included in only
// a few reports.
func (m *Machine) Report(now time.Duration) Report {
	digest := m.partSuspects.Digest()
	parts := m.partSuspects.TakeReports(now, maxReportedParts) // before contents, some of which are then due
	return Report{
		Headroom: m.ownHeadroom, Suspects: m.suspects.TakeReports(now, maxReportedSuspects), SuspectsDigest: m.suspects.Digest(),
		HasParts: digest != (quarantine.Digest{}) || m.hasPeerParts(now), PartSuspects: parts, PartsDigest: digest,
	}
}

// peerPartsTTL is how long a router whose digest of parts is empty announces it, once others have
// reported theirs.
const peerPartsTTL = 10 * time.Second

// hasPeerParts reports whether other routers bar or nearly bar parts, so that they must learn whether
// this one does.
func (m *Machine) hasPeerParts(now time.Duration) bool {
	return m.peerPartsAt > 0 && now-m.peerPartsAt < peerPartsTTL
}

// Teams returns the demand and use of the active teams at this router.
func (m *Machine) Teams(now time.Duration) []loads.TeamUse {
	var out []loads.TeamUse
	for name, t := range m.teams {
		offered := t.offered.decay(now)
		if offered > minActiveRate {
			out = append(out, loads.TeamUse{
				Team: name, Offered: float32(offered), Recent: float32(t.recent.decay(now)), Served: float32(t.served.decay(now)),
			})
		}
	}
	slices.SortFunc(out, func(a, b loads.TeamUse) int { return strings.Compare(a.Team, b.Team) })
	return out
}
