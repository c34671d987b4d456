package main

// Line is a linear model of a value by size: base + slope*size.
type Line struct {
	base  float64
	slope float64
}

// Fit returns the least-squares line through the points. If all points have the same size, the line is constant.
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

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.base + l.slope*size }

// Estimate returns the value at a size on the line through points, which are ordered by size. Beyond the measured sizes
// it returns at least the greatest measured value: a decrease is noise, or does not continue.
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
