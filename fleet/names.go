package fleet

// Team is the name of a customer of the fleet, as the bundle lists it.
type Team string

// Work is the name of a kind of work that a bundle routes to backend servers.
type Work string

// Hall is the name of a data hall.
type Hall string

// Name is the name of a process: a router, or the agent of one backend server.
// An agent has the name of its backend server.
type Name string

// Incarnation distinguishes the starts of a process. It is chosen at each start
// and increases from one start to the next, provided that the host's clock does.
type Incarnation uint64

// Generation counts accepted bundles. It never decreases.
type Generation uint64
