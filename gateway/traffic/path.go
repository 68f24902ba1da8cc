package traffic

// Path says how far bytes go.
type Path uint8

// The paths of traffic, the shortest first.
const (
	WithinHall   Path = iota
	BetweenHalls      // of one region
	BetweenRegions
	numPaths
)

// String names the path for logs and metrics.
func (p Path) String() string {
	return [...]string{"within_hall", "between_halls", "between_regions"}[p]
}

// Place is where a host is. An empty region is not known, and counts as one of its own.
type Place struct{ Hall, Region string }

// PathTo returns the path from one place to another.
func (p Place) PathTo(other Place) Path {
	switch {
	case p.Hall == other.Hall:
		return WithinHall
	case p.Region == other.Region:
		return BetweenHalls
	}
	return BetweenRegions
}
