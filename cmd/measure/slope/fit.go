// Package slope fits lines through measurements.
package slope

import "math"

// Point is one measurement at a size.
type Point struct {
	Size  float64
	Value float64
}

// Line is the best straight line through points.
type Line struct {
	intercept float64
	slope     float64
	spread    float64
	quality   float64
	largest   float64
}

// Fit returns the line of least squares.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	l := Line{}
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		l.largest = max(l.largest, p.Size)
	}
	if d := n*sxx - sx*sx; d != 0 {
		l.slope = (n*sxy - sx*sy) / d
	}
	l.intercept = (sy - l.slope*sx) / n
	var residual, total float64
	for _, p := range points {
		residual += math.Pow(p.Value-l.At(p.Size), 2)
		total += (p.Value - sy/n) * (p.Value - sy/n)
	}
	l.spread = math.Sqrt(residual / n)
	l.quality = 1
	if total > 0 {
		l.quality = 1 - residual/total
	}
	return l
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.intercept + l.slope*size }

// Intercept returns the value at size 0.
func (l Line) Intercept() float64 { return l.intercept }

// Slope returns the rise for each unit of size.
func (l Line) Slope() float64 { return l.slope }

// RMSE returns the root of the mean square of the residuals.
func (l Line) RMSE() float64 { return l.spread }

// RSquared returns the coefficient of determination, 1 for a perfect fit.
func (l Line) RSquared() float64 { return l.quality }

// MaxSize returns the largest size measured; beyond it the line is
// extrapolated.
func (l Line) MaxSize() float64 { return l.largest }
