package main

import (
	"fmt"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotRequests draws the requests of each second, a line for each result.
func plotRequests(file string, lines []logLine) error {
	counts, first, seconds := countBySecond(lines)
	p := plot.New()
	p.Title.Text = "Requests by result"
	p.X.Label.Text = "seconds since " + first.Format(time.RFC3339)
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	var drawn []any
	for _, result := range requestResults() {
		points := make(plotter.XYs, seconds)
		for i := range points {
			points[i] = plotter.XY{X: float64(i), Y: float64(counts[result][i])}
		}
		drawn = append(drawn, string(result), points)
	}
	if err := plotutil.AddLines(p, drawn...); err != nil {
		return fmt.Errorf("plotRequests: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plotRequests: %w", err)
	}
	return nil
}

// countBySecond counts the requests by result and by the second in which they ended,
// since the first one.
func countBySecond(lines []logLine) (counts map[requestResult]map[int]int, first time.Time, seconds int) {
	counts = map[requestResult]map[int]int{}
	for _, result := range requestResults() {
		counts[result] = map[int]int{}
	}
	for _, l := range lines {
		if l.Message == messageRequest && (first.IsZero() || l.At.Before(first)) {
			first = l.At
		}
	}
	for _, l := range lines {
		if l.Message != messageRequest {
			continue
		}
		second := int(l.At.Sub(first) / time.Second)
		counts[l.result()][second]++
		seconds = max(seconds, second+1)
	}
	return counts, first, seconds
}
