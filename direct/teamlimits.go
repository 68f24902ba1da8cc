package direct

// teamLimits are a team's limits, in tokens per second.
type teamLimits struct {
	baseLevel float64 // share of the configured capacity
	level     float64 // share of the capacity including headroom
	evenCap   float64 // limit while other teams are served less than they ask for
}

// limitsOf returns the limits of a team: its group's, or those of unrestricted teams.
func (m *Machine) limitsOf(t *teamUsage) teamLimits {
	if t.group == nil {
		return m.teamLimits
	}
	return t.group.teamLimits
}
