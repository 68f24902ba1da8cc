package link

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/wire"
)

// SpellCounts spells counts with the names of this link.
func (c *Conn) SpellCounts(counts []fleet.QueueCount) []wire.DemandRow {
	rows := make([]wire.DemandRow, len(counts))
	for i, n := range counts {
		rows[i] = c.SpellCount(n)
	}
	return rows
}

// SpellCount spells one count with the names of this link.
func (c *Conn) SpellCount(n fleet.QueueCount) wire.DemandRow {
	return wire.DemandRow{
		Work:      c.Out.Number(string(n.Key.Work)),
		Team:      c.Out.Number(string(n.Key.Team)),
		Class:     n.Key.Class,
		Count:     uint32(n.Waiting),
		OldestAge: uint32(n.OldestAge / time.Millisecond),
	}
}

// ReadCounts reads counts from this link. Rows with names that were never sent
// are left out.
func (c *Conn) ReadCounts(rows []wire.DemandRow) []fleet.QueueCount {
	counts := make([]fleet.QueueCount, 0, len(rows))
	for _, r := range rows {
		n := c.ReadCount(r)
		if n.Key.Team != "" && n.Key.Work != "" {
			counts = append(counts, n)
		}
	}
	return counts
}

// ReadCount reads one count from this link.
func (c *Conn) ReadCount(r wire.DemandRow) fleet.QueueCount {
	return fleet.QueueCount{
		Key:       c.ReadKey(r.Work, r.Team, r.Class),
		Waiting:   int(r.Count),
		OldestAge: time.Duration(r.OldestAge) * time.Millisecond,
	}
}

// ReadKey reads the name of a line from this link.
func (c *Conn) ReadKey(work, team wire.Number, class fleet.Class) fleet.DemandKey {
	return fleet.DemandKey{
		Work:  fleet.Work(c.In.Text(work)),
		Team:  fleet.Team(c.In.Text(team)),
		Class: class,
	}
}

// SpellService spells service rows with the names of this link.
func (c *Conn) SpellService(rows []fleet.ServiceRow) []wire.ServiceRow {
	out := make([]wire.ServiceRow, len(rows))
	for i, r := range rows {
		out[i] = wire.ServiceRow{
			Team:    c.Out.Number(string(r.Team)),
			Service: int64(r.Service / time.Millisecond),
			Lift:    int64(r.Lift / time.Millisecond),
		}
	}
	return out
}

// ReadService reads service rows from this link. Rows with names that were
// never sent are left out.
func (c *Conn) ReadService(rows []wire.ServiceRow) []fleet.ServiceRow {
	out := make([]fleet.ServiceRow, 0, len(rows))
	for _, r := range rows {
		team := c.In.Text(r.Team)
		if team == "" {
			continue
		}
		out = append(out, fleet.ServiceRow{
			Team:    fleet.Team(team),
			Service: time.Duration(r.Service) * time.Millisecond,
			Lift:    time.Duration(r.Lift) * time.Millisecond,
		})
	}
	return out
}
