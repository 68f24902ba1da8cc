package cluster

import (
	"time"

	"github.com/croftvale/croftvale/rollout"
)

// demandRow is the encoding of a rollout.Demand.
type demandRow struct {
	Known     bool    `msgpack:"k,omitempty"`
	PerSecond float32 `msgpack:"r,omitempty"`
	Watched   uint32  `msgpack:"w,omitempty"` // milliseconds
}

func packDemands(reports []rollout.Report) []demandRow {
	var rows []demandRow
	for _, r := range reports {
		d := r.Demand
		rows = append(rows, demandRow{
			Known: d.Complete, PerSecond: float32(d.PerSecond), Watched: uint32(max(0, d.Observed.Milliseconds())),
		})
	}
	return rows
}

func (d demandRow) unpack() rollout.Demand {
	return rollout.Demand{
		Complete: d.Known, PerSecond: float64(d.PerSecond), Observed: time.Duration(d.Watched) * time.Millisecond,
	}
}
