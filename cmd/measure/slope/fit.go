// Package slope fits straight lines to measurements by least squares.
package slope

import "math"

// Point is one measurement at a size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a straight line fitted to points, with the quality of the fit.
type Line struct {
	intercept float64
	slope     float64
	rmse      float64
	rSquared  float64
	maxSize   float64
}

// Fit returns the least-squares line through the points.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	l := Line{}
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
		l.maxSize = max(l.maxSize, p.Size)
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
	l.rmse = math.Sqrt(residual / n)
	l.rSquared = 1
	if total > 0 {
		l.rSquared = 1 - residual/total
	}
	return l
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.intercept + l.slope*size }

// Intercept returns the value at size 0.
func (l Line) Intercept() float64 { return l.intercept }

// Slope returns the increase per unit of size.
func (l Line) Slope() float64 { return l.slope }

// RMSE returns the root mean square of the residuals.
func (l Line) RMSE() float64 { return l.rmse }

// RSquared returns the coefficient of determination, 1 for an exact fit.
func (l Line) RSquared() float64 { return l.rSquared }

// MaxSize returns the largest size measured; beyond it the line is
// extrapolated.
func (l Line) MaxSize() float64 { return l.maxSize }
