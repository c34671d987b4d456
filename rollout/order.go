// Package rollout decides how the traffic of a service moves from the servers of one version to those of another: what a
// node may send where (Plan), whether the new version is good (Judge, Guard), and the steps of the whole (Decider). The
// package is deterministic and has no network: control passes decisions and counts between the nodes and to the store.
package rollout

import "time"

// Order is the operator's order to move the traffic of a service to the servers of a target version.
type Order struct {
	service string
	target  string
	limit   time.Duration
	number  uint64
	at      time.Time
}

// DefaultLimit is the time in which a roll-out has to end if its order states none.
const DefaultLimit = time.Minute

// NewOrder returns an order. limit is the time in which the roll-out has to end, number the order's offset in the store +
// 1, and at the time of the order by the local clock, or when it was first seen.
func NewOrder(service, target string, limit time.Duration, number uint64, at time.Time) Order {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return Order{service: service, target: target, limit: limit, number: number, at: at}
}

// Service returns the service.
func (o Order) Service() string { return o.service }

// Target returns the version that the traffic moves to.
func (o Order) Target() string { return o.target }

// Limit returns the time in which the roll-out has to end, counted from the order.
func (o Order) Limit() time.Duration { return o.limit }

// Number returns the number of the order. Later orders have greater numbers.
func (o Order) Number() uint64 { return o.number }

// At returns the time of the order.
func (o Order) At() time.Time { return o.at }
