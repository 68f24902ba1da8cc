package direct

// bounds are what a team may get, in tokens a second.
type bounds struct {
	base  float64 // most of what is configured
	level float64 // most while capacity is short
	even  float64 // above its share while others get less
}

// boundsOf returns what a team may get.
func (m *Machine) boundsOf(t *teamUse) bounds {
	if t.group == nil {
		return m.bounds
	}
	return t.group.bounds
}
