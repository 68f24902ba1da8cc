package fleet

// Team names a customer of the fleet, as the bundle spells it.
type Team string

// Work names a kind of work that a bundle routes to backend servers.
type Work string

// Hall names a data hall.
type Hall string

// Name names one process: a router, or the agent of one backend server. An
// agent bears the name of its backend server.
type Name string

// Incarnation tells two lives of the same process apart. It is chosen at
// start and grows from one life to the next, as far as the host's clock does.
type Incarnation uint64

// Generation counts accepted bundles; it only ever grows.
type Generation uint64
