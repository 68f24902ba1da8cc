package agent

import (
	"time"

	"github.com/croftvale/croftvale/fleet"
	"github.com/croftvale/croftvale/link"
	"github.com/croftvale/croftvale/sched"
	"github.com/croftvale/croftvale/wire"
)

// counts reads demand rows from one link. Rows with names that were never sent
// are left out.
func counts(conn *link.Conn, rows []wire.DemandRow) []sched.Count {
	out := make([]sched.Count, 0, len(rows))
	for _, r := range rows {
		c := count(conn, r)
		if c.Key.Team != "" && c.Key.Work != "" {
			out = append(out, c)
		}
	}
	return out
}

func count(conn *link.Conn, r wire.DemandRow) sched.Count {
	return sched.Count{
		Key: fleet.DemandKey{
			Work:  fleet.Work(conn.In.Text(r.Work)),
			Team:  fleet.Team(conn.In.Text(r.Team)),
			Class: r.Class,
		},
		Waiting:   int(r.Count),
		OldestAge: time.Duration(r.OldestAge) * time.Millisecond,
	}
}

// claimOf spells a claim for one link.
func claimOf(conn *link.Conn, cmd sched.ClaimCmd) wire.Claim {
	return wire.Claim{
		Seq:   cmd.Seq,
		Work:  conn.Out.Number(string(cmd.Key.Work)),
		Team:  conn.Out.Number(string(cmd.Key.Team)),
		Class: cmd.Key.Class,
	}
}

// machineRows reads service rows from one link.
func machineRows(conn *link.Conn, rows []wire.ServiceRow) []sched.ServiceRow {
	out := make([]sched.ServiceRow, 0, len(rows))
	for _, r := range rows {
		team := conn.In.Text(r.Team)
		if team == "" {
			continue
		}
		out = append(out, sched.ServiceRow{
			Team:    fleet.Team(team),
			Service: time.Duration(r.Service) * time.Millisecond,
			Lift:    time.Duration(r.Lift) * time.Millisecond,
		})
	}
	return out
}

// wireRows spells service rows for one link.
func wireRows(conn *link.Conn, rows []sched.ServiceRow) []wire.ServiceRow {
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
