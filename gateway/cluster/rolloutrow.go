package cluster

import (
	"slices"
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// rolloutRow is the encoding of a rollout.Report. It holds the names of routes and cohorts once
// each, since they would take most of the bytes.
type rolloutRow struct {
	Service        string
	Order          uint64
	Routers        uint32
	Known, InForce rollout.Stage
	Age            time.Duration
	OldRunning     uint32
	Rejected       bool
	Routes         []string
	Cohorts        []string
	Cells          []cellRow
}

// cellRow is the encoding of a rollout.Cell, with indices into the row's Routes and Cohorts.
type cellRow struct {
	Route, Cohort int
	Target, Later bool
	Good, Bad     uint32
}

func packRollouts(reports []rollout.Report) []rolloutRow {
	var rows []rolloutRow
	for _, r := range reports {
		row := rolloutRow{
			Service: r.Service, Order: r.Order, Routers: r.Routers, Known: r.MaxStage, InForce: r.MinAppliedStage,
			Age: r.Age, OldRunning: r.OldRunning, Rejected: r.Rejected,
		}
		for _, c := range r.Cells {
			cell := cellRow{Target: c.Target, Later: c.AfterStart, Good: c.Good, Bad: c.Bad}
			row.Routes, cell.Route = intern(row.Routes, c.Route)
			row.Cohorts, cell.Cohort = intern(row.Cohorts, c.Cohort)
			row.Cells = append(row.Cells, cell)
		}
		rows = append(rows, row)
	}
	return rows
}

// intern returns the index of a name in a list, and appends the name if it is missing. Cells are
// sorted by route, so a route is usually the last name of the list.
func intern(names []string, name string) ([]string, int) {
	if n := len(names); n > 0 && names[n-1] == name {
		return names, n - 1
	}
	if i := slices.Index(names, name); i >= 0 {
		return names, i
	}
	return append(names, name), len(names)
}

// unpackRollouts decodes rows and the demands that came with them.
func unpackRollouts(rows []rolloutRow, demands []demandRow) []rollout.Report {
	var reports []rollout.Report
	for i, row := range rows {
		r := rollout.Report{
			Service: row.Service, Order: row.Order, Routers: row.Routers, MaxStage: row.Known, MinAppliedStage: row.InForce,
			Age: row.Age, OldRunning: row.OldRunning, Rejected: row.Rejected,
		}
		if i < len(demands) {
			r.Demand = demands[i].unpack()
		}
		for _, c := range row.Cells {
			if !inRange(row.Routes, c.Route) || !inRange(row.Cohorts, c.Cohort) {
				continue // the datagram may come from any sender, so its indices are not trusted
			}
			r.Cells = append(r.Cells, rollout.Cell{
				Route: row.Routes[c.Route], Cohort: row.Cohorts[c.Cohort], Target: c.Target, AfterStart: c.Later, Good: c.Good, Bad: c.Bad,
			})
		}
		reports = append(reports, r)
	}
	return reports
}

func inRange(names []string, i int) bool { return i >= 0 && i < len(names) }
