package rollout

import "time"

// Counter counts the requests of one service and order at one node. It is safe for concurrent use.
type Counter struct{}

// NewCounter returns a counter of an order of a service.
func NewCounter(service string, order uint64) *Counter { return &Counter{} }

// Start counts a request sent to a side.
func (c *Counter) Start(side Side) { panic("rollout: not built yet") }

// End counts the end of a request: cohort is that of the server if the side is SideTarget. A request that was not run, or
// that its caller gave up, ends with Cancel.
func (c *Counter) End(route string, side Side, cohort int, failed bool, took time.Duration) {
	panic("rollout: not built yet")
}

// Cancel counts the end of a request that says nothing about the server.
func (c *Counter) Cancel(side Side) { panic("rollout: not built yet") }

// Counts returns the totals for a report.
func (c *Counter) Counts(sequence uint64, guarded bool) Counts { panic("rollout: not built yet") }
