package lab

import (
	"math/rand/v2"
	"time"
)

// Class is a kind of request.
type Class struct {
	Priority int     // 0 is the most urgent
	Share    float64 // of all requests
	RunTime  time.Duration
	Target   time.Duration // latency within which an answer counts in full
	Deadline time.Duration // time for which a caller waits
}

// Load is a mix of classes.
type Load []Class

// Draw draws the index of the class of a request.
func (l Load) Draw(rnd *rand.Rand) int {
	remaining := rnd.Float64()
	for i, c := range l {
		if remaining -= c.Share; remaining < 0 {
			return i
		}
	}
	return len(l) - 1
}

// Capacity returns the requests a second that servers can run, if they are never idle.
func (l Load) Capacity(servers []*Server) float64 {
	work, capacity := 0.0, 0.0
	for _, c := range l {
		work += c.Share * c.RunTime.Seconds()
	}
	for _, s := range servers {
		capacity += float64(s.slots) / (work * s.slowdown)
	}
	return capacity
}

// Arrive calls arrive for requests that arrive at random at a number per second, for a duration from now.
func (w *World) Arrive(perSecond float64, duration time.Duration, arrive func()) {
	end, interval := w.now.Add(duration), float64(time.Second)/perSecond
	for at := w.now; at.Before(end); at = at.Add(time.Duration(w.rnd.ExpFloat64() * interval)) {
		w.At(at, arrive)
	}
}

// Tally counts what callers got, by class.
type Tally struct {
	load     Load
	requests []float64
	inTime   []float64
	answered []float64
}

// NewTally returns an empty tally.
func NewTally(l Load) *Tally {
	return &Tally{load: l, requests: make([]float64, len(l)), inTime: make([]float64, len(l)), answered: make([]float64, len(l))}
}

// Request counts a request of a class.
func (t *Tally) Request(class int) { t.requests[class]++ }

// Answer counts an answer after a latency, and reports whether the caller was still waiting.
func (t *Tally) Answer(class int, latency time.Duration) bool {
	if latency <= t.load[class].Target {
		t.inTime[class]++
	}
	if latency > t.load[class].Deadline {
		return false
	}
	t.answered[class]++
	return true
}

// InTime returns the share of the requests of a class that were answered within the target.
func (t *Tally) InTime(class int) float64 { return t.inTime[class] / t.requests[class] }

// AllInTime returns the share of all requests that were answered within their targets.
func (t *Tally) AllInTime() float64 { return sum(t.inTime) / sum(t.requests) }

// AllAnswered returns the share of all requests that were answered while their callers waited.
func (t *Tally) AllAnswered() float64 { return sum(t.answered) / sum(t.requests) }

func sum(counts []float64) float64 {
	total := 0.0
	for _, c := range counts {
		total += c
	}
	return total
}
