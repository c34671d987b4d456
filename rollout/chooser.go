package rollout

import (
	"math"
	"time"
)

// evenStep is the fractional part of the golden ratio. Multiples of it modulo 1 fill the unit interval most evenly.
const evenStep = 0.6180339887498949

// maxSequences bounds the sequences that a Chooser remembers.
const maxSequences = 4096

// Chooser chooses the side of each request by an even sequence per service and route: with independent draws a rare route
// would get too few requests at the target version by chance to judge it. It is not safe for concurrent use.
type Chooser struct {
	uniform func() float64
	points  map[sequenceKey]float64 // last point in [0, 1)
}

type sequenceKey struct{ service, route string }

// NewChooser returns a chooser that draws the starting points of its sequences from uniform, which returns numbers in
// [0, 1).
func NewChooser(uniform func() float64) *Chooser {
	return &Chooser{uniform: uniform, points: make(map[sequenceKey]float64)}
}

// Choose returns the side of the next request of a service and route.
func (c *Chooser) Choose(now time.Time, service, route string, plan *Plan) Side {
	share := plan.Share(now)
	if share <= 0 {
		return SideBase
	}
	if share >= FullShare {
		return SideTarget
	}
	key := sequenceKey{service: service, route: route}
	point, known := c.points[key]
	if known {
		_, point = math.Modf(point + evenStep)
	} else {
		point = c.uniform()
		if len(c.points) >= maxSequences {
			clear(c.points)
		}
	}
	c.points[key] = point
	if point*FullShare < float64(share) {
		return SideTarget
	}
	return SideBase
}
