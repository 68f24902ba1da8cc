package direct

// teamLimits are what a team may get, in tokens a second.
type teamLimits struct {
	baseLevel float64 // most of what is configured
	level     float64 // most while capacity is short
	evenCap   float64 // above its share while others get less
}

// limitsOf returns what a team may get.
func (m *Machine) limitsOf(t *teamUsage) teamLimits {
	if t.group == nil {
		return m.teamLimits
	}
	return t.group.teamLimits
}
