package detector

import (
	"cmp"
	"slices"
)

// insertIntoRing adds a router to the ring at its position.
func (d *Detector) insertIntoRing(p *peer) {
	i, _ := d.ringIndex(p)
	d.ring = slices.Insert(d.ring, i, p)
}

func (d *Detector) ringIndex(p *peer) (int, bool) {
	return slices.BinarySearchFunc(d.ring, p, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.ringKey, b.ringKey), cmp.Compare(a.address, b.address))
	})
}
