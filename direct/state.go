package direct

import "time"

// ServerState is what the machine takes a server to be.
type ServerState struct {
	ID, Service, Address, Zone string
	Version                    string
	Slots                      int
	Usable, Leaving, Probation bool
	Evacuated, HallLost        bool
	Barred                     bool          // servers of its version get nothing at present, or it takes no part in a trial
	ColdFor                    time.Duration // how much longer it bears only few requests; 0: it is not cold
	BackoffFor                 time.Duration // how much longer it wants nothing from this router
	Running                    int           // all routers
	Pending                    int           // tokens that all routers have there
	TokensPerMS                float64       // measured; 0: not yet
	Failures                   float64       // average, 0 to 1
}

// Servers returns what the machine takes the servers to be, by service and id.
func (m *Machine) Servers(now time.Duration) []ServerState {
	var out []ServerState
	for _, name := range m.poolNames() {
		for _, s := range m.pools[name].all {
			out = append(out, ServerState{
				ID: s.ID, Service: s.Service, Address: s.Address, Zone: s.Zone, Version: s.Version, Slots: s.Slots,
				Usable: s.usable(now), Leaving: s.leaving, Probation: s.probation,
				Evacuated: s.evacuated, HallLost: s.hallUnreachable, Barred: s.versionBarred, ColdFor: max(s.cold.until-now, 0), BackoffFor: max(s.notices.backoffUntil-now, 0),
				Running: s.totalRunning(), Pending: s.totalPending(), TokensPerMS: s.tokenRate, Failures: s.failureRate,
			})
		}
	}
	return out
}
