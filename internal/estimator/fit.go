package estimator

import "math"

// Point is one measured size and cost.
type Point struct {
	Size float64
	Cost float64
}

// Line is a least-squares fit: cost = Base + Slope*size, with the largest residual as a share of the cost.
type Line struct {
	Name     string
	SizeUnit string
	CostUnit string
	Points   []Point
	Base     float64
	Slope    float64
	Residual float64
}

// Fit fits a line to the points.
func Fit(name, sizeUnit, costUnit string, points []Point) Line {
	line := Line{Name: name, SizeUnit: sizeUnit, CostUnit: costUnit, Points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Cost
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Cost
	}
	spread := n*sumXX - sumX*sumX
	if spread != 0 {
		line.Slope = (n*sumXY - sumX*sumY) / spread
	}
	line.Base = (sumY - line.Slope*sumX) / n
	for _, p := range points {
		if p.Cost != 0 {
			line.Residual = max(line.Residual, math.Abs(line.At(p.Size)-p.Cost)/math.Abs(p.Cost))
		}
	}
	return line
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
