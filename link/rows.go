package link

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/wire"
)

// EncodeCounts converts counts to wire rows. Rows hold the numbers that this link assigned to
// names, not the names.
func (c *Conn) EncodeCounts(counts []fleet.QueueCount) []wire.DemandRow {
	rows := make([]wire.DemandRow, len(counts))
	for i, n := range counts {
		rows[i] = c.EncodeCount(n)
	}
	return rows
}

// EncodeCount converts one count to a wire row.
func (c *Conn) EncodeCount(n fleet.QueueCount) wire.DemandRow {
	return wire.DemandRow{
		Work:      c.OutNames.Number(string(n.Key.Work)),
		Team:      c.OutNames.Number(string(n.Key.Team)),
		Class:     n.Key.Class,
		Count:     uint32(n.Waiting),
		OldestAge: uint32(n.OldestAge / time.Millisecond),
	}
}

// DecodeCounts converts wire rows from this link to counts. It skips rows with names that were
// never sent.
func (c *Conn) DecodeCounts(rows []wire.DemandRow) []fleet.QueueCount {
	counts := make([]fleet.QueueCount, 0, len(rows))
	for _, r := range rows {
		n := c.DecodeCount(r)
		if n.Key.Team != "" && n.Key.Work != "" {
			counts = append(counts, n)
		}
	}
	return counts
}

// DecodeCount converts one wire row from this link to a count.
func (c *Conn) DecodeCount(r wire.DemandRow) fleet.QueueCount {
	return fleet.QueueCount{
		Key:       c.DecodeKey(r.Work, r.Team, r.Class),
		Waiting:   int(r.Count),
		OldestAge: time.Duration(r.OldestAge) * time.Millisecond,
	}
}

// DecodeKey returns the key of a queue, given the numbers of its names on this link.
func (c *Conn) DecodeKey(work, team wire.Number, class fleet.Class) fleet.DemandKey {
	return fleet.DemandKey{
		Work:  fleet.Work(c.InNames.Text(work)),
		Team:  fleet.Team(c.InNames.Text(team)),
		Class: class,
	}
}

// EncodeService converts service rows to wire rows.
func (c *Conn) EncodeService(rows []fleet.ServiceRow) []wire.ServiceRow {
	out := make([]wire.ServiceRow, len(rows))
	for i, r := range rows {
		out[i] = wire.ServiceRow{
			Team:    c.OutNames.Number(string(r.Team)),
			Service: int64(r.Service / time.Millisecond),
			Lift:    int64(r.Lift / time.Millisecond),
		}
	}
	return out
}

// DecodeService converts wire rows from this link to service rows. It skips rows with names that
// were never sent.
func (c *Conn) DecodeService(rows []wire.ServiceRow) []fleet.ServiceRow {
	out := make([]fleet.ServiceRow, 0, len(rows))
	for _, r := range rows {
		team := c.InNames.Text(r.Team)
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
