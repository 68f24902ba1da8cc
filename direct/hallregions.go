package direct

import (
	"maps"
	"slices"
)

// hallRegions says in which regions data halls lie. Its zero value knows no regions.
type hallRegions struct {
	ownRegion       string // region of this router; empty: unknown
	halls           map[string]string
	multipleRegions bool // more than one region is known
}

func newHallRegions(ownRegion, hall string, halls map[string]string) hallRegions {
	if ownRegion == "" {
		ownRegion = halls[hall]
	}
	known := slices.AppendSeq([]string{ownRegion}, maps.Values(halls))
	slices.Sort(known)
	known = slices.DeleteFunc(slices.Compact(known), func(region string) bool { return region == "" })
	return hallRegions{ownRegion: ownRegion, halls: halls, multipleRegions: len(known) > 1}
}

// regionOf returns the region of a data hall, or an empty one where it is not known.
func (g hallRegions) regionOf(hall string) string { return g.halls[hall] }

// isLocal tells whether a region counts as this router's own. Where only one is known, all
// do: nothing says that any hall is farther away than the others.
func (g hallRegions) isLocal(region string) bool {
	return !g.multipleRegions || (region != "" && region == g.ownRegion)
}

// setHallRegions puts in force in which regions data halls lie.
func (m *Machine) setHallRegions(msg HallRegionsMsg) {
	m.hallRegions = newHallRegions(m.options.Region, m.options.Zone, msg.Halls)
	for _, s := range m.byServer {
		s.region = m.hallRegions.regionOf(s.Zone)
	}
	for _, name := range m.poolNames() {
		m.serveQueue(msg.Now, m.pools[name], maxQueued)
	}
}
