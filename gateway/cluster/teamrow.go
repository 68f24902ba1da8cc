package cluster

import (
	"math"

	"github.com/croftvale/croftvale/loads"
)

// rateUnit is what datagrams count teams' rates in, in tokens a second: about a
// hundredth of a common request a second. Most rates of one router then take one or
// two bytes, and what is lost by rounding is small beside any team's share.
const rateUnit = 64

// teamRow is a loads.TeamUse, its rates in rateUnits.
type teamRow struct {
	Team                    string
	Offered, Recent, Served uint32
}

// packTeams makes a list of teams small. A team whose rates all round to nothing is left
// out.
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

// unpackTeams returns what the rows say in tokens a second.
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
