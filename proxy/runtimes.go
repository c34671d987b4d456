package proxy

import (
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/routing"
)

// Weights of one sample in the moving averages. As for the round-trip time of TCP (RFC 6298), the deviation adapts faster
// than the mean.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// unknownRunTimeFactor times the average run time of all classes is the upper bound of a class without samples.
	unknownRunTimeFactor = 2
	// deviationsFromMean is the number of deviations around the mean within which most run times lie.
	deviationsFromMean = 2
)

// requestClass groups requests that are expected to have similar run times.
type requestClass struct {
	kind     routing.Kind
	priority int
}

func classOf(c Call) requestClass { return requestClass{kind: c.kind, priority: c.priority} }

// runTimeEstimate is the estimated run time of one class.
type runTimeEstimate struct {
	mean      time.Duration
	deviation time.Duration
}

// runTimeEstimator estimates the run times of requests at a server by class. It is safe for concurrent use.
type runTimeEstimator struct {
	mu      sync.Mutex
	classes map[requestClass]runTimeEstimate
}

func newRunTimeEstimator() *runTimeEstimator {
	return &runTimeEstimator{classes: make(map[requestClass]runTimeEstimate)}
}

// observe updates the estimate of a class with the run time of a request.
func (e *runTimeEstimator) observe(c Call, runTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate, known := e.classes[classOf(c)]
	if !known {
		e.classes[classOf(c)] = runTimeEstimate{mean: runTime, deviation: runTime / 2}
		return
	}
	deviation := (runTime - estimate.mean).Abs()
	estimate.deviation += time.Duration(deviationWeight * float64(deviation-estimate.deviation))
	estimate.mean += time.Duration(meanWeight * float64(runTime-estimate.mean))
	e.classes[classOf(c)] = estimate
}

// lowerBound returns the run time that few requests of a class fall below, or zero without samples.
func (e *runTimeEstimator) lowerBound(c Call) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := e.classes[classOf(c)]
	return max(estimate.mean-deviationsFromMean*estimate.deviation, 0)
}

// upperBound returns the run time that few requests of a class exceed, or zero without samples.
func (e *runTimeEstimator) upperBound(c Call) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := e.classes[classOf(c)]
	return estimate.mean + deviationsFromMean*estimate.deviation
}
