package admission

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"vanillalug.example/lugtest/enginetest"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// SurgeFactors returns the bursts of the plot, as multiples of the usual load.
func SurgeFactors() []float64 { return []float64{1, 2, 3, 4, 6, 8, 10, 12, 14, 16} }

// Plot draws the share of requests in time by the burst, a line for each policy.
// The file extension selects the format.
func Plot(file string, loads []float64, seeds int) error {
	p := plot.New()
	p.Title.Text = "Requests that begin in time"
	p.X.Label.Text = "burst, times the usual load for 10 of 30 s"
	p.Y.Label.Text = "share"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, w := range Policies() {
		var points plotter.XYs
		for _, load := range loads {
			o := Run(enginetest.Pattern{SurgeFactor: load}, w, seeds)
			points = append(points, plotter.XY{X: load, Y: o.InTime.Mean})
		}
		lines = append(lines, w.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("Plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("Plot: %w", err)
	}
	return nil
}
