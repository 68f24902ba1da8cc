package gateway

import (
	"math"

	"github.com/croftvale/croftvale/direct"
)

// rateUnit is what a heartbeat counts teams' rates in, in tokens a second: about a
// hundredth of a common request a second. Most rates of one router then take one or
// two bytes, and what is lost by rounding is small beside any team's share.
const rateUnit = 64

// report is a direct.Report as a heartbeat carries it.
type report struct {
	Headroom float32
	Teams    []teamRow
	Copies   []direct.Copy
}

// teamRow is a direct.TeamUse, its rates in rateUnits.
type teamRow struct {
	Team                    string
	Offered, Recent, Served uint32
}

// packReport makes a report small. A team whose rates all round to nothing is left out.
func packReport(r direct.Report) report {
	out := report{Headroom: float32(r.Headroom), Copies: r.Copies, Teams: make([]teamRow, 0, len(r.Teams))}
	for _, t := range r.Teams {
		row := teamRow{Team: t.Team, Offered: rateUnits(t.Offered), Recent: rateUnits(t.Recent), Served: rateUnits(t.Served)}
		if row != (teamRow{Team: t.Team}) {
			out.Teams = append(out.Teams, row)
		}
	}
	return out
}

// unpack returns what the report says in tokens a second.
func (r report) unpack() direct.Report {
	out := direct.Report{Headroom: float64(r.Headroom), Copies: r.Copies, Teams: make([]direct.TeamUse, 0, len(r.Teams))}
	for _, t := range r.Teams {
		out.Teams = append(out.Teams, direct.TeamUse{
			Team: t.Team, Offered: rateUnit * float32(t.Offered), Recent: rateUnit * float32(t.Recent), Served: rateUnit * float32(t.Served),
		})
	}
	return out
}

func rateUnits(rate float32) uint32 { return uint32(math.Round(float64(max(rate, 0)) / rateUnit)) }
