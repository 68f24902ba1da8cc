package router

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/ledger"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/queue"
	"github.com/croftvale/croftvale/wire"
)

// demandRows spells counts for one link.
func demandRows(conn *link.Conn, counts []queue.Count) []wire.DemandRow {
	rows := make([]wire.DemandRow, len(counts))
	for i, c := range counts {
		rows[i] = demandRow(conn, c)
	}
	return rows
}

func demandRow(conn *link.Conn, c queue.Count) wire.DemandRow {
	return wire.DemandRow{
		Work:      conn.Out.Number(string(c.Key.Work)),
		Team:      conn.Out.Number(string(c.Key.Team)),
		Class:     c.Key.Class,
		Count:     uint32(c.Waiting),
		OldestAge: uint32(c.OldestAge / time.Millisecond),
	}
}

// claimKey reads which line an agent claims from.
func claimKey(conn *link.Conn, m wire.Claim) fleet.DemandKey {
	return fleet.DemandKey{
		Work:  fleet.Work(conn.In.Text(m.Work)),
		Team:  fleet.Team(conn.In.Text(m.Team)),
		Class: m.Class,
	}
}

// hubRows reads service rows from one link.
func hubRows(conn *link.Conn, rows []wire.ServiceRow) []ledger.Row {
	out := make([]ledger.Row, 0, len(rows))
	for _, r := range rows {
		team := conn.In.Text(r.Team)
		if team == "" {
			continue
		}
		out = append(out, ledger.Row{
			Team:    fleet.Team(team),
			Service: time.Duration(r.Service) * time.Millisecond,
			Lift:    time.Duration(r.Lift) * time.Millisecond,
		})
	}
	return out
}

// wireRows spells service rows for one link.
func wireRows(conn *link.Conn, rows []ledger.Row) []wire.ServiceRow {
	out := make([]wire.ServiceRow, len(rows))
	for i, r := range rows {
		out[i] = wire.ServiceRow{
			Team:    conn.Out.Number(string(r.Team)),
			Service: int64(r.Service / time.Millisecond),
			Lift:    int64(r.Lift / time.Millisecond),
		}
	}
	return out
}
