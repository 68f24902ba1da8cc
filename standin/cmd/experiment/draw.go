package main

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// draw writes a drawing of each variant's worth, play by play in the baseline's
// order.
func draw(path string, variants []variant, plays []play) error {
	p := plot.New()
	p.Title.Text = "worth of each play"
	p.X.Label.Text = "play (site, day and seed)"
	p.Y.Label.Text = "worth"
	var lines []any
	for _, v := range variants {
		var points plotter.XYs
		for i, one := range of(v.Name, false, plays) {
			points = append(points, plotter.XY{X: float64(i), Y: one.Worth})
		}
		lines = append(lines, v.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "draw")
	}
	return errors.Wrap(p.Save(9*vg.Inch, 5*vg.Inch, path), "draw")
}
