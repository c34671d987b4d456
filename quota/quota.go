// Package quota enforces the rates of organisations over all nodes. Each organisation has an account at one node, its
// owner. Nodes report to the owner how many requests of the organisation they were asked for and admitted; the owner answers
// with the fraction to admit. All decisions are deterministic: events and the time go in, results come out.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooknot/bambooknot/routing"
)

// ID identifies an organisation in messages.
type ID uint64

// NewID returns the ID of the organisation with the given name.
func NewID(name string) ID { return ID(xxhash.Sum64String(name)) }

// Limit is the quota of an organisation over all nodes.
type Limit struct {
	rate  float64 // requests per second
	burst float64
}

// NewLimit returns a limit.
func NewLimit(rate, burst float64) Limit { return Limit{rate: rate, burst: burst} }

// LimitOf returns the limit of an organisation.
func LimitOf(o routing.Organisation) Limit { return NewLimit(o.RatePerSecond(), o.Burst()) }

// Rate returns the number of requests per second that all nodes together admit in the long run.
func (l Limit) Rate() float64 { return l.rate }

// Burst returns the number of requests that all nodes together admit at once in addition to the rate.
func (l Limit) Burst() float64 { return l.burst }

// Usage states how many requests of an organisation a node was asked for and admitted since the last report that the owner
// answered.
type Usage struct {
	id       ID
	base     uint32
	asked    uint32
	admitted uint32
	span     time.Duration
}

// NewUsage returns the usage since the report with number base, of which the first request came span ago.
func NewUsage(id ID, base, asked, admitted uint32, span time.Duration) Usage {
	return Usage{id: id, base: base, asked: asked, admitted: admitted, span: span}
}

// ID returns the organisation.
func (u Usage) ID() ID { return u.id }

// Base returns the number of the last report with this organisation that was answered, 0 if none was.
func (u Usage) Base() uint32 { return u.base }

// Asked returns the number of requests that the node was asked for.
func (u Usage) Asked() uint32 { return u.asked }

// Admitted returns the number of requests that the node admitted.
func (u Usage) Admitted() uint32 { return u.admitted }

// Span returns the age of the first of these requests.
func (u Usage) Span() time.Duration { return u.span }

// Share is what a node may admit of an organisation's requests.
type Share struct {
	id       ID
	fraction float64
	share    float64
	rate     float64
}

// NewShare returns the fraction of requests that each node admits, the node's share of the demand, and the rate of the
// organisation that the fraction was computed with.
func NewShare(id ID, fraction, share, rate float64) Share {
	return Share{id: id, fraction: fraction, share: share, rate: rate}
}

// ID returns the organisation.
func (s Share) ID() ID { return s.id }

// Fraction returns the fraction of requests to admit, between 0 and 1.
func (s Share) Fraction() float64 { return s.fraction }

// Share returns the node's share of the demand of all nodes, between 0 and 1.
func (s Share) Share() float64 { return s.share }

// Rate returns the organisation's rate in the table of the owner.
func (s Share) Rate() float64 { return s.rate }

const (
	minReportInterval       = 200 * time.Millisecond
	reportIntervalPerMember = 1500 * time.Microsecond
	// answerTimeout is the time without an answer from which a node relies on its own share. Unanswered reports are repeated
	// every minReportInterval, so that a single lost message does not exceed it.
	answerTimeout = 400 * time.Millisecond
	// lateAnswer is the time without an answer from which a node admits at most lateFactor times its share. An answer takes
	// 40 ms between regions.
	lateAnswer = 150 * time.Millisecond
	lateFactor = 2
	// answerLifetime is the age up to which an answer shows that an owner can be reached.
	answerLifetime = time.Second
)

// ReportInterval returns the time between two reports of a node in a fleet of the given size. It grows with the fleet, so
// that an owner gets at most 670 reports per second.
func ReportInterval(members int) time.Duration {
	return max(minReportInterval, time.Duration(members)*reportIntervalPerMember)
}

// decay returns the factor by which a mean with the time constant tau declines within d.
func decay(d, tau time.Duration) float64 {
	return math.Exp(-max(d, 0).Seconds() / tau.Seconds())
}
