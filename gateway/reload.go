package gateway

import (
	"net"
	"runtime/debug"

	"github.com/croftvale/croftvale/direct"
)

// Reload applies changed settings. Listeners stay open until the process ends; if one of
// the router's own addresses has changed, the log line says that a restart is needed. The
// bounds of rollouts are read only at the start, since the rollouts in progress began with
// them.
func (g *Gateway) Reload(s Settings) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	g.grace.Store(int64(s.Grace))
	g.core.Update(direct.RetryBudgetMsg{RetryBudget: s.RetryBudget})
	g.core.Update(direct.DrainMsg{Drain: s.MaxDrainTime})
	g.core.Update(direct.HallRegionsMsg{Now: g.core.Now(), Halls: s.HallRegions})
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			g.cluster.Peers.Add(host)
		}
	}
	addressChanged := s.FrontAddress != g.settings.FrontAddress || s.ReadyAddress != g.settings.ReadyAddress || s.ControlAddress != g.settings.ControlAddress
	g.log.Event("reload").Bool("restart_needed", addressChanged).Msg("")
}

// ReloadFailed logs that the settings cannot be read. The last valid ones remain in effect.
func (g *Gateway) ReloadFailed(err error) {
	g.log.Event("reload_failed").Err(err).Msg("")
}

// Unreadable logs that an object of the source cannot be read. Its previous state remains
// in effect.
func (g *Gateway) Unreadable(kind, name string, revision uint64, err error) {
	g.log.Event("object_unreadable").Str("kind", kind).Str("name", name).Uint64("revision", revision).Err(err).Msg("")
}
