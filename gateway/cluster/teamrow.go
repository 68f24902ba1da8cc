package cluster

import (
	"math"

	"github.com/croftvale/croftvale/loads"
)

// rateUnit is the unit of teams' rates in datagrams, in tokens per second. It is about the rate of
// one typical request in 100 seconds. Most rates of a router then take one or two bytes, and the
// rounding error is small compared with any team's share.
const rateUnit = 64

// teamRow is the encoding of a loads.TeamUse, with rates in units of rateUnit.
type teamRow struct {
	Team                    string
	Offered, Recent, Served uint32
}

// packTeams encodes the usage of teams. It skips a team whose rates all round to 0.
func packTeams(teams []loads.TeamUse) []teamRow {
	out := make([]teamRow, 0, len(teams))
	for _, t := range teams {
		row := teamRow{Team: t.Team, Offered: rateUnits(t.Offered), Recent: rateUnits(t.Recent), Served: rateUnits(t.Served)}
		if row != (teamRow{Team: t.Team}) {
			out = append(out, row)
		}
	}
	return out
}

// unpackTeams decodes rows to tokens per second.
func unpackTeams(rows []teamRow) []loads.TeamUse {
	out := make([]loads.TeamUse, 0, len(rows))
	for _, t := range rows {
		out = append(out, loads.TeamUse{
			Team: t.Team, Offered: rateUnit * float32(t.Offered), Recent: rateUnit * float32(t.Recent), Served: rateUnit * float32(t.Served),
		})
	}
	return out
}

func rateUnits(rate float32) uint32 { return uint32(math.Round(float64(max(rate, 0)) / rateUnit)) }
