package ledger

// changes is the set of places that have changed since it was last taken, in
// the order of their first change.
type changes struct {
	places []int
	in     []bool
}

func (c *changes) note(i int) {
	for len(c.in) <= i {
		c.in = append(c.in, false)
	}
	if !c.in[i] {
		c.in[i] = true
		c.places = append(c.places, i)
	}
}

// take returns the places and starts anew.
func (c *changes) take() []int {
	places := c.places
	for _, i := range places {
		c.in[i] = false
	}
	c.places = nil
	return places
}
