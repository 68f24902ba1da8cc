package fleet

import "cmp"

// DemandKey identifies a queue of waiting requests: those of one team and class
// for one kind of work.
type DemandKey struct {
	Work  Work
	Team  Team
	Class Class
}

// Compare orders keys by team, work and class. Decisions iterate in this order,
// so that they do not depend on the order of a map.
func (k DemandKey) Compare(o DemandKey) int {
	return cmp.Or(
		cmp.Compare(k.Team, o.Team),
		cmp.Compare(k.Work, o.Work),
		cmp.Compare(k.Class, o.Class),
	)
}
