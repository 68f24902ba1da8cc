package direct

import (
	"maps"
	"slices"
)

// geography says in which regions data halls lie. Its zero value knows no regions.
type geography struct {
	own     string // region of this router; empty: unknown
	halls   map[string]string
	several bool // more than one region is known
}

func newGeography(own, hall string, halls map[string]string) geography {
	if own == "" {
		own = halls[hall]
	}
	known := slices.AppendSeq([]string{own}, maps.Values(halls))
	slices.Sort(known)
	known = slices.DeleteFunc(slices.Compact(known), func(region string) bool { return region == "" })
	return geography{own: own, halls: halls, several: len(known) > 1}
}

// regionOf returns the region of a data hall, or an empty one where it is not known.
func (g geography) regionOf(hall string) string { return g.halls[hall] }

// near tells whether a region counts as this router's own. Where only one is known, all
// do: nothing says that any hall is farther away than the others.
func (g geography) near(region string) bool {
	return !g.several || (region != "" && region == g.own)
}

// placeHalls puts in force in which regions data halls lie.
func (m *Machine) placeHalls(msg HallRegionsMsg) {
	m.geography = newGeography(m.options.Region, m.options.Zone, msg.Halls)
	for _, s := range m.byServer {
		s.region = m.geography.regionOf(s.Zone)
	}
	for _, name := range m.poolNames() {
		m.serve(msg.Now, m.pools[name], maxQueued)
	}
}
