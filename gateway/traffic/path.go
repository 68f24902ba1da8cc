package traffic

// Path says whether bytes stay in the router's data hall.
type Path uint8

// The paths of traffic.
const (
	WithinHall Path = iota
	BetweenHalls
	paths
)

// String names the path for logs and metrics.
func (p Path) String() string { return [...]string{"within_hall", "between_halls"}[p] }

// PathTo returns the path from one hall to another.
func PathTo(own, other string) Path {
	if own == other {
		return WithinHall
	}
	return BetweenHalls
}
