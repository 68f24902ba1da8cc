package gateway

import (
	"net"
	"runtime/debug"

	"github.com/croftvale/croftvale/direct"
)

// Reload puts changed settings in force. What a process has opened stays open
// until its end; a changed address of its own is logged. Bounds of roll-outs are taken at
// the start alone: what is under way was begun with them.
func (g *Gateway) Reload(s Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	g.grace.Store(int64(s.Grace))
	g.core.Update(direct.RetryBudgetMsg{RetryBudget: s.Budget})
	g.core.Update(direct.DrainMsg{Drain: s.Drain})
	g.core.Update(direct.HallRegionsMsg{Now: g.core.Now(), Halls: s.HallRegions})
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			g.cluster.Peers.Add(host)
		}
	}
	moved := s.Front != g.settings.Front || s.Ready != g.settings.Ready || s.Control != g.settings.Control
	g.log.Event("reload").Bool("restart_needed", moved).Msg("")
}

// ReloadFailed logs settings that cannot be read; the last good ones stay in
// force.
func (g *Gateway) ReloadFailed(err error) {
	g.log.Event("reload_failed").Err(err).Msg("")
}

// Unreadable logs an object of the source that cannot be read; what was known
// before stays in force.
func (g *Gateway) Unreadable(kind, name string, revision uint64, err error) {
	g.log.Event("object_unreadable").Str("kind", kind).Str("name", name).Uint64("revision", revision).Err(err).Msg("")
}
