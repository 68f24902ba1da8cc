package eventlog

import (
	"github.com/croftvale/croftvale/direct"
)

// Hall logs that a data hall is evacuated, or no longer.
func (l *Log) Hall(c direct.HallCmd) {
	name := "hall_returned"
	if c.Evacuated {
		name = "hall_evacuated"
	}
	l.Event(name).Str("hall", c.Hall).Uint64("revision", c.Revision).Int("servers", c.Servers).Msg("")
}

// Reach logs that the servers of a data hall can't be reached, or can again.
func (l *Log) Reach(c direct.ReachCmd) {
	name := "hall_reached"
	if c.Lost {
		name = "hall_lost"
	}
	l.Event(name).Str("hall", c.Hall).Int("unreached", c.Unreached).Int("servers", c.Servers).Msg("")
}

// Belief logs what the router takes a server to be.
func (l *Log) Belief(b direct.BeliefCmd) {
	if l.AllowBelief() {
		l.Event("server_"+string(b.Belief)).Str("server", b.Server.ID).Str("service", b.Server.Service).
			Str("address", b.Server.Address).Str("cause", b.Cause).Dur("for", b.For).Msg("")
	}
}

// Shares logs what the teams that ask for most get.
func (l *Log) Shares(s direct.Shares) {
	e := l.Event("shares").Float64("level", s.Level).Float64("headroom", s.Headroom).Float64("busy", s.Busy)
	if s.Even > 0 {
		e.Float64("even", s.Even)
	}
	e.Any("most", s.Most).Msg("")
}
