package direct

import "time"

const (
	// shareInterval is the time between two updates of the shares.
	shareInterval = 100 * time.Millisecond
	// busySlotFraction is the fraction of slots in use, and busyBacklogFraction the backlog as
	// a fraction of the requests' objectives, at which engines count as busy.
	busySlotFraction    = 0.55
	busyBacklogFraction = 0.3
	// busyWeight is the weight of one sample in the average of how busy engines are. It is low
	// because requests come in bursts, which engines work off.
	busyWeight = 0.1
	// objectiveWeight is the weight of one request in the average objective.
	objectiveWeight = 0.02
	// headroomGrowth and headroomDecay are the factors per update by which the headroom above
	// the teams' shares changes while engines are idle or busy. maxHeadroom bounds it.
	headroomGrowth    = 1.05
	headroomDecay     = 0.95
	maxHeadroom       = 4.0
	headroomGrowBelow = 0.8 // busy level below which the headroom grows
)

// updateShares computes how much each team may get. Together, teams may get the configured
// capacity of the engines, and up to maxHeadroom times as much while the engines are not busy.
func (m *Machine) updateShares(now time.Duration) {
	if now < m.sharesUpdatedAt+shareInterval {
		return
	}
	elapsed := now - m.sharesUpdatedAt
	m.sharesUpdatedAt = now
	m.assignTeamGroups()
	demands, served := m.demands(now)
	busy := 0.0
	for _, p := range m.pools {
		p.updateCacheTTL(served)
		busy = max(busy, p.busy(now))
	}
	m.busy += busyWeight * (busy - m.busy)
	switch {
	case !m.enabled(Headroom):
		m.ownHeadroom = 1
	case m.busy > 1:
		m.ownHeadroom = max(m.ownHeadroom*headroomDecay, 1)
	case m.busy < headroomGrowBelow:
		m.ownHeadroom = min(max(m.ownHeadroom, 1)*headroomGrowth, maxHeadroom)
	}
	m.headroom = m.medianHeadroom()
	m.updateLevels(demands)
	m.updateEvenCaps(now)
	m.refillBuckets(now, elapsed)
	m.updateTeamWeights(now)
}

// updateLevels computes the levels up to which teams get what they ask for. demands are those
// of the unrestricted teams.
func (m *Machine) updateLevels(demands []float64) {
	m.level = 0
	switch {
	case m.limits.TokensPerSecond <= 0:
	case len(m.groups) > 0:
		m.updateGroupLevels(demands)
	default:
		m.baseLevel = waterLevel(demands, m.limits.TokensPerSecond)
		m.level = waterLevel(demands, m.limits.TokensPerSecond*m.headroom)
	}
}

// demands adds the demand of each active restricted team to its group. It returns the demands
// of the active unrestricted teams, and the total rate at which teams are served.
func (m *Machine) demands(now time.Duration) (unrestricted []float64, served float64) {
	unrestricted = make([]float64, 0, len(m.teams))
	for _, t := range m.teams {
		served += t.servedRate(now)
		d := t.offeredRate(now)
		switch {
		case d <= minActiveRate:
		case t.group == nil:
			unrestricted = append(unrestricted, d)
		default:
			t.group.demands = append(t.group.demands, d)
		}
	}
	return unrestricted, served
}

// updateTeamWeights computes the scale of the teams' weights at this router. Requests refused
// before their body was read don't count, since they take little processor time.
func (m *Machine) updateTeamWeights(now time.Duration) {
	sum, squares := 0.0, 0.0
	for _, t := range m.teams {
		own := t.admitted.decay(now)
		sum += own
		squares += own * own
	}
	m.weightScale = 0
	if squares > 0 {
		m.weightScale = sum / squares
	}
}

// TeamWeight returns a team's part of the demand at this router, scaled so that the average
// over the demand is 1.
func (m *Machine) TeamWeight(now time.Duration, team string) float64 {
	t := m.teams[team]
	if t == nil {
		return 0
	}
	return t.admitted.decay(now) * m.weightScale
}

// busy returns how busy the engines of a pool are; above 1 they count as busy.
func (p *pool) busy(now time.Duration) float64 {
	if p.engine == nil {
		return 0
	}
	running, slots, backlogMS, servers := 0, 0, 0.0, 0
	for _, s := range p.admitted {
		if !s.usable(now) || s.cold.active(now) {
			continue
		}
		running += s.totalRunning()
		slots += s.Slots
		backlogMS += float64(s.totalPending()) / p.tokenRateOf(s)
		servers++
	}
	if servers == 0 || slots == 0 {
		return 0
	}
	bySlots := float64(running) / float64(slots) / busySlotFraction
	byBacklog := backlogMS / float64(servers) / (busyBacklogFraction * max(p.objectiveMS, 1))
	return max(bySlots, byBacklog)
}
