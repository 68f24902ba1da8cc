package direct

import "slices"

// Regions is the set of regions that a request may be served in. The zero value allows all
// regions.
type Regions struct {
	restricted bool
	allowed    []string // sorted; if restricted and empty, no region is allowed
}

// RegionsOf returns the regions that all lists allow, such as those of a route and of a team.
// An empty list allows all regions.
func RegionsOf(lists ...[]string) Regions {
	var r Regions
	for _, list := range lists {
		if len(list) == 0 {
			continue
		}
		if !r.restricted {
			r = Regions{restricted: true, allowed: slices.Sorted(slices.Values(list))}
			continue
		}
		r.allowed = slices.DeleteFunc(r.allowed, func(region string) bool { return !slices.Contains(list, region) })
	}
	return r
}

// Allows reports whether a region is allowed. An unknown region, given as "", is allowed only
// if all regions are.
func (r Regions) Allows(region string) bool {
	return !r.restricted || (region != "" && slices.Contains(r.allowed, region))
}

// Restricted reports whether only some regions, or none, are allowed.
func (r Regions) Restricted() bool { return r.restricted }

// AllowsNone reports whether no region is allowed.
func (r Regions) AllowsNone() bool { return r.restricted && len(r.allowed) == 0 }

// Names returns the allowed regions in sorted order, or nil if all are allowed.
func (r Regions) Names() []string { return slices.Clone(r.allowed) }
