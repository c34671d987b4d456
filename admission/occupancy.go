package admission

import "time"

// releaseWeight is the weight of one freed slot in the average of an occupancy.
const releaseWeight = 1.0 / 32

// The average before any call has ended, as if that many calls had ended after that time.
const (
	initialRunTime  = 150 * time.Millisecond
	initialReleases = 12
)

// occupancy estimates for how long a call holds its slot, from the time for which slots are held and the number of slots
// that are freed. It counts the time of calls that have not ended, as the first calls to end after a start are the short
// ones. It answers the load of a server that starts cold, or turns slow, while callers return: with an average over
// ended calls, the queue accepts several times the calls that it can serve, and refuses them when it is too late to try
// another server.
type occupancy struct {
	held      time.Duration // time for which slots were held of late
	releases  float64       // slots that were freed of late
	updatedAt time.Time     // end of the time that held includes
}

func newOccupancy() occupancy {
	return occupancy{held: initialReleases * initialRunTime, releases: initialReleases}
}

// advance adds the time since the last update, in which a number of calls have held slots.
func (o *occupancy) advance(now time.Time, running int) {
	if !o.updatedAt.IsZero() && now.After(o.updatedAt) {
		o.held += time.Duration(running) * now.Sub(o.updatedAt)
	}
	o.updatedAt = now
}

// release counts a freed slot.
func (o *occupancy) release() {
	o.held -= time.Duration(releaseWeight * float64(o.held))
	o.releases += 1 - releaseWeight*o.releases
}

// average returns the average time for which a call holds its slot.
func (o *occupancy) average() time.Duration { return time.Duration(float64(o.held) / o.releases) }
