package direct

import (
	"maps"
	"slices"
)

// hallRegions maps data halls to regions. The zero value has no regions.
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

// regionOf returns the region of a data hall, or an empty string if it is unknown.
func (h hallRegions) regionOf(hall string) string { return h.halls[hall] }

// isLocal reports whether a region counts as this router's own. If at most one region is known,
// every hall counts as local, because nothing shows that one is farther away than another.
func (h hallRegions) isLocal(region string) bool {
	return !h.multipleRegions || (region != "" && region == h.ownRegion)
}

// setHallRegions applies a new mapping of data halls to regions and serves the queues by it.
func (m *Machine) setHallRegions(msg HallRegionsMsg) {
	m.hallRegions = newHallRegions(m.options.Region, m.options.Zone, msg.Halls)
	for _, s := range m.byServer {
		s.region = m.hallRegions.regionOf(s.Zone)
	}
	for _, name := range m.poolNames() {
		m.serveQueue(msg.Now, m.pools[name], maxQueued)
	}
}
