package routing

import (
	"math"
	"math/rand/v2"
)

// splitStep is the fractional part of the golden ratio. Multiples of it modulo 1 fill the unit interval most evenly.
const splitStep = 0.6180339887498949

// maxSplitRoutes bounds the routes that a Splitter remembers.
const maxSplitRoutes = 4096

// Splitter distributes the requests of each route to its services by weight. It answers the load of a node that receives
// only some of a route's requests: independent random choices would miss the weights by several per cent over a few
// hundred requests of the fleet. A low-discrepancy sequence with a random start keeps each node close to the weights and
// the sum over all nodes unbiased, however few requests each one receives. It is not safe for concurrent use.
type Splitter struct {
	rnd    *rand.Rand
	points map[string]float64 // last point in [0, 1), by route
}

// NewSplitter returns a splitter that draws its starting points from rnd.
func NewSplitter(rnd *rand.Rand) *Splitter {
	return &Splitter{rnd: rnd, points: make(map[string]float64)}
}

// Choose returns the service for the next request of a route. Weights may change between calls.
func (s *Splitter) Choose(r Route) string {
	if len(r.Services()) == 1 {
		return r.Services()[0].Service()
	}
	point, known := s.points[r.Name()]
	if known {
		_, point = math.Modf(point + splitStep)
	} else {
		point = s.rnd.Float64()
		if len(s.points) >= maxSplitRoutes {
			clear(s.points)
		}
	}
	s.points[r.Name()] = point
	return r.ChooseService(point)
}
