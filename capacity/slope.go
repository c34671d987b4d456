package main

// Line is a figure as a function of size: base + slope*size.
type Line struct {
	base  float64
	slope float64
}

// Fit returns the line with the least squares of the differences from the points. It needs two sizes;
// with one the line is level.
func Fit(points []Point) Line {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += float64(p.size) / n
		meanY += p.value / n
	}
	var covariance, variance float64
	for _, p := range points {
		dx := float64(p.size) - meanX
		covariance += dx * (p.value - meanY)
		variance += dx * dx
	}
	if variance == 0 {
		return Line{base: meanY}
	}
	slope := covariance / variance
	return Line{base: meanY - slope*meanX, slope: slope}
}

// At returns the figure at a size.
func (l Line) At(size float64) float64 { return l.base + l.slope*size }

// Estimate returns the figure at a size from the line through points. Beyond the measured sizes it does
// not go below the greatest figure measured: a fall there is noise, or does not last.
func Estimate(points []Point, size float64) float64 {
	value := Fit(points).At(size)
	if size <= float64(points[len(points)-1].size) {
		return value
	}
	for _, p := range points {
		value = max(value, p.value)
	}
	return value
}
