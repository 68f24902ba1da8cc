package direct

import "slices"

// Regions are those that a request may be served in. Its zero value allows all.
type Regions struct {
	restricted bool
	allowed    []string // sorted; empty where bound: none
}

// RegionsOf returns the regions that are allowed by each of several lists, such as those of
// a route and of a team. An empty list allows all.
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

// Allows tells whether a region is among them. An unknown region, the empty one, is outside
// wherever a request is bound.
func (r Regions) Allows(region string) bool {
	return !r.restricted || (region != "" && slices.Contains(r.allowed, region))
}

// Restricted tells whether not all regions are allowed.
func (r Regions) Restricted() bool { return r.restricted }

// AllowsNone tells whether no region is allowed.
func (r Regions) AllowsNone() bool { return r.restricted && len(r.allowed) == 0 }

// Names returns the allowed regions in order; nil where all are.
func (r Regions) Names() []string { return slices.Clone(r.allowed) }
