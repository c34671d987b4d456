package message

import "github.com/bambooknot/bambooknot/quota"

// QuotaReport states to an owner how many requests of organisations the sender was asked for and admitted.
type QuotaReport struct {
	number uint32
	usages []quota.Usage
}

// NewQuotaReport returns the report with a number that the answer repeats and at most quota.MaxRows usages. It keeps the
// slice.
func NewQuotaReport(number uint32, usages []quota.Usage) QuotaReport {
	return QuotaReport{number: number, usages: usages}
}

// PeerMessage implements PeerMessage.
func (QuotaReport) PeerMessage() {}

// Number returns the number of the report.
func (r QuotaReport) Number() uint32 { return r.number }

// Usages returns the usage by organisation. The caller must not change it.
func (r QuotaReport) Usages() []quota.Usage { return r.usages }

// QuotaGrant states what the recipient may admit of organisations' requests.
type QuotaGrant struct {
	number  uint32
	initial bool
	shares  []quota.Share
}

// NewQuotaGrant returns the answer to the report with the given number, or with number 0 a grant without a report. initial
// states that the sender does not know the demand of all nodes yet. It keeps the slice of at most quota.MaxRows shares.
func NewQuotaGrant(number uint32, initial bool, shares []quota.Share) QuotaGrant {
	return QuotaGrant{number: number, initial: initial, shares: shares}
}

// PeerMessage implements PeerMessage.
func (QuotaGrant) PeerMessage() {}

// Number returns the number of the report that is answered, or 0.
func (g QuotaGrant) Number() uint32 { return g.number }

// Initial reports whether the sender does not know the demand of all nodes yet.
func (g QuotaGrant) Initial() bool { return g.initial }

// Shares returns what may be admitted by organisation. The caller must not change it.
func (g QuotaGrant) Shares() []quota.Share { return g.shares }
