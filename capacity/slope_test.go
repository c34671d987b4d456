package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestFitRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := float64(rapid.IntRange(-1000, 1000).Draw(t, "base"))
		slope := float64(rapid.IntRange(-1000, 1000).Draw(t, "slope"))
		sizes := rapid.SliceOfNDistinct(rapid.IntRange(1, 1000), 2, 6, rapid.ID).Draw(t, "sizes")
		points := make([]Point, len(sizes))
		for i, size := range sizes {
			points[i] = Point{size: size, value: base + slope*float64(size)}
		}
		diff := Fit(points).At(580) - (base + slope*580)
		if diff > 1e-3 || diff < -1e-3 {
			t.Fatalf("off by %g", diff)
		}
	})
}

func TestFitOneSizeIsConstant(t *testing.T) {
	line := Fit([]Point{{size: 12, value: 3}, {size: 12, value: 5}})
	qt.Assert(t, line.At(580), qt.Equals, 4.0)
}

func TestEstimateKeepsMaximumBeyondMeasuredSizes(t *testing.T) {
	points := []Point{{size: 12, value: 4}, {size: 48, value: 3}, {size: 120, value: 2}}
	qt.Assert(t, Estimate(points, 580), qt.Equals, 4.0)
	qt.Assert(t, Estimate(points, 100) < 3, qt.IsTrue)
}
