package traffic

// Path is the distance class of traffic.
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

// Place is the location of a host. An empty region means unknown and counts as a region of its
// own.
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
