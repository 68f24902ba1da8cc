package main

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// draw writes a drawing of the backlogged teams' service over time.
func draw(path string, samples []sampled, teams []teamProfile) error {
	p := plot.New()
	p.Title.Text = "service per unit of share, backlogged teams"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "slot-seconds"
	var lines []any
	for _, t := range teams {
		points := make(plotter.XYs, len(samples))
		for i, s := range samples {
			points[i] = plotter.XY{X: s.at.Seconds(), Y: s.service[t.name] / 1000}
		}
		lines = append(lines, t.name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw")
	}
	return errors.Wrap(p.Save(8*vg.Inch, 5*vg.Inch, path), "draw")
}
