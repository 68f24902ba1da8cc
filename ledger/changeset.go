package ledger

// changeSet is the set of places that have changed since it was last taken, in
// the order of their first change.
type changeSet struct {
	indexes []int
	marked  []bool
}

func (c *changeSet) mark(i int) {
	for len(c.marked) <= i {
		c.marked = append(c.marked, false)
	}
	if !c.marked[i] {
		c.marked[i] = true
		c.indexes = append(c.indexes, i)
	}
}

// drain returns the places and starts anew.
func (c *changeSet) drain() []int {
	indexes := c.indexes
	for _, i := range indexes {
		c.marked[i] = false
	}
	c.indexes = nil
	return indexes
}
