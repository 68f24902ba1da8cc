package direct

import "time"

// ServerState is the state of a server as this router sees it.
type ServerState struct {
	ID, Service, Address, Zone string
	Version                    string
	Slots                      int
	Usable, Leaving, Probation bool
	Evacuated, HallLost        bool
	Barred                     bool          // its version gets no requests at the moment, or it is not part of a canary
	ColdFor                    time.Duration // remaining time with a reduced request rate; 0: not cold
	BackoffFor                 time.Duration // remaining time in which it must be sent nothing
	Running                    int           // requests of all routers
	Pending                    int           // unread prompt tokens of all routers
	TokensPerMS                float64       // reading speed; 0: not measured
	Failures                   float64       // failure average, 0 to 1
}

// Servers returns the states of all known servers, by service and ID.
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
