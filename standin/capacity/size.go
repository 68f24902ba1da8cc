package capacity

// Size is the fleet and the load that are worked out.
type Size struct {
	Routers    float64
	Agents     float64
	Halls      float64
	Teams      float64
	Backlogged float64 // teams
	Requests   float64 // a second, in the fleet
	Changes    float64 // of the bundle, a day
	Replaced   float64 // hosts, a day
	Links      float64 // routers that link to one agent
	Keyed      float64 // part of the requests that bears an idempotency key
	ShareEvery float64 // seconds between two rounds of service
	PollHosts  float64 // seconds between two reads of the host list
	Watchers   float64 // routers that watch the bundle
}

// TwoYears is the size that the users expect within two years. Links is the
// default; the part of keyed requests is an assumption, as are the rounds,
// which are those of policy.prefer = "bytes".
var TwoYears = Size{
	Routers: 670, Agents: 10_000, Halls: 13, Teams: 540, Backlogged: 54,
	Requests: 30_000, Changes: 18_000, Replaced: 3_600, Links: 16, Keyed: 0.05,
	ShareEvery: 2, PollHosts: 5, Watchers: 4,
}

// Today is Gradinfeld's pool as the load tool runs it.
var Today = Size{
	Routers: 6, Agents: 15, Halls: 3, Teams: 10, Backlogged: 5,
	Requests: 550, Changes: 100, Replaced: 1, Links: 16, Keyed: 0.05,
	ShareEvery: 1, PollHosts: 5, Watchers: 2,
}

const (
	secondsPerDay = 86_400
	hubsPerHall   = 2
	keyOwners     = 3
)

// routerLinks returns how many agents one router links to.
func (s Size) routerLinks() float64 { return s.Agents * min(s.Links, s.Routers) / s.Routers }

// hallAgents returns how many agents a hall has.
func (s Size) hallAgents() float64 { return s.Agents / s.Halls }

// perRouter and perAgent return requests a second.
func (s Size) perRouter() float64 { return s.Requests / s.Routers }
func (s Size) perAgent() float64  { return s.Requests / s.Agents }

// changes returns changes of the bundle a second.
func (s Size) changes() float64 { return s.Changes / secondsPerDay }
