package direct

import (
	"slices"
	"time"
)

// demandHold is how much longer the demand of a lost router's callers counts
// than what it had running: about the time that they take to be served again.
const demandHold = 4 * time.Second

// peer takes in what another router does at the moment.
func (m *Machine) peer(msg PeerMsg) {
	m.peers[msg.Peer] = peerReport{at: msg.Now, report: msg.Report}
	m.peersChanged = true
	m.hearCopies(msg.Now, msg.Report.Copies)
}

// sumPeers adds up the reports that still hold.
func (m *Machine) sumPeers(now time.Duration) {
	for name, p := range m.peers {
		switch {
		case now-p.at > m.hold+demandHold:
			delete(m.peers, name)
			m.peersChanged = true
		case now-p.at > m.hold && !p.lost:
			p.lost = true
			m.peers[name] = p
			m.peersChanged = true
		}
	}
	if !m.peersChanged {
		return
	}
	m.peersChanged = false
	for _, t := range m.teams {
		t.others = TeamUse{}
	}
	for _, p := range m.peers {
		if p.lost {
			m.addDemand(p.report)
			continue
		}
		m.addReport(p.report)
	}
}

// commonHeadroom returns the middle of what the routers that are heard take the
// headroom to be: shares that differ between routers would not be even.
func (m *Machine) commonHeadroom() float64 {
	headrooms := []float64{max(m.ownHeadroom, 1)}
	for _, p := range m.peers {
		if p.report.Headroom > 0 && !p.lost {
			headrooms = append(headrooms, p.report.Headroom)
		}
	}
	slices.Sort(headrooms)
	return headrooms[(len(headrooms)-1)/2]
}

// addDemand adds up what a lost router's callers asked for: they are about to
// come back, through it or another.
func (m *Machine) addDemand(r Report) {
	for _, t := range r.Teams {
		m.team(t.Team).others.Offered += t.Offered
	}
}

func (m *Machine) addReport(r Report) {
	for _, t := range r.Teams {
		u := m.team(t.Team)
		u.others.Offered += t.Offered
		u.others.Recent += t.Recent
		u.others.Served += t.Served
	}
}

// Report returns what this router does at the moment, for the others.
func (m *Machine) Report(now time.Duration) Report {
	r := Report{Headroom: m.ownHeadroom, Copies: m.copies.list(now)}
	for name, t := range m.teams {
		offered := t.offered.decay(now)
		if offered > activeRate {
			r.Teams = append(r.Teams, TeamUse{
				Team: name, Offered: float32(offered), Recent: float32(t.recent.decay(now)), Served: float32(t.served.decay(now)),
			})
		}
	}
	slices.SortFunc(r.Teams, func(a, b TeamUse) int { return compareText(a.Team, b.Team) })
	return r
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
