package quota

import (
	"net/netip"
	"time"
)

const (
	// debtTime is the time within which a debt is paid back, surplusTime that within which the burst is spent. A burst that is
	// spent faster turns into a debt before nodes have heard of the demand.
	debtTime    = 500 * time.Millisecond
	surplusTime = 1500 * time.Millisecond
	// A part burstMargin of what a burst has above smallBurst is not granted: it makes up for late reports.
	burstMargin = 0.4
	smallBurst  = 20
	// minDemandTime and maxDemandTime bound the time constant of the estimate of the demand. With demandSamples requests at
	// the limit its error is a third; for large organisations it must cover two reports of each node.
	minDemandTime = 400 * time.Millisecond
	maxDemandTime = 3 * time.Second
	demandSamples = 8
	// minShareTime and maxShareTime bound the time constant of the estimate of a node's share, in which each node gets about
	// shareSamples requests at the limit.
	minShareTime = 5 * time.Second
	maxShareTime = time.Minute
	shareSamples = 2
	// learningTime is the age up to which an account says that it does not know the demand of all nodes.
	learningTime = 250 * time.Millisecond
	// trendTime is the time constant of the fraction that idle nodes are told.
	trendTime = 300 * time.Millisecond
	// Nodes are told a fraction without a report if it is less than pushDecline or more than pushRise times what they were
	// told last. While an organisation is limited, they are told again every pushRefresh.
	pushDecline = 0.6
	pushRise    = 1.7
	pushRefresh = 20 * time.Second
	// minPushDemand is the demand, relative to the rate, below which only answers to reports carry a lower fraction.
	minPushDemand = 0.5
	pushInterval  = 400 * time.Millisecond
)

// account is the owner's state of an organisation: a token bucket that is drawn down by what nodes report as admitted. It may
// go below zero, as reports arrive late; debts are paid back.
type account struct {
	id        ID
	limit     Limit
	createdAt time.Time
	coverage  float64 // part of the quota that nodes in touch with the owner may use
	level     float64
	levelAt   time.Time
	demand    mean
	total     mean // denominator of the nodes' shares
	nodes     map[netip.AddrPort]*contribution
	trend     float64 // mean of the fraction
	trendAt   time.Time
	pushedAt  time.Time
	limited   bool
	limitedAt time.Time // when the trend was last below limitedTrend
}

// contribution is a node's part of the demand of an organisation.
type contribution struct {
	last       Usage  // the last report
	number     uint32 // of the last report
	demand     mean
	reportedAt time.Time
	share      float64 // as granted last
	reserved   float64 // requests charged for the node while it was out of touch
	told       float64 // fraction that the node was told last
	toldAt     time.Time
}

// mean is an exponentially weighted mean of a rate.
type mean struct {
	value     float64
	updatedAt time.Time
	startedAt time.Time
}

func (m *mean) add(now time.Time, count float64, tau time.Duration) {
	if m.startedAt.IsZero() {
		m.startedAt = now.Add(-tau / 2) // a single first request must not count as a high rate
	}
	m.value = m.value*decay(now.Sub(m.updatedAt), tau) + count/tau.Seconds()
	m.updatedAt = now
}

// count returns the number of requests that the mean stands for.
func (m *mean) count(now time.Time, tau time.Duration) float64 {
	return m.value * decay(now.Sub(m.updatedAt), tau) * tau.Seconds()
}

// at returns the mean, corrected for the time since its start.
func (m *mean) at(now time.Time, tau time.Duration) float64 {
	if m.startedAt.IsZero() {
		return 0
	}
	return m.value * decay(now.Sub(m.updatedAt), tau) / (1 - decay(now.Sub(m.startedAt), tau))
}

// newAccount returns an account with few tokens: the previous owner may have granted the burst already.
func newAccount(now time.Time, id ID, limit Limit, level float64) *account {
	return &account{id: id, limit: limit, createdAt: now, coverage: 1, level: min(level, limit.burst), levelAt: now, trend: 1, trendAt: now, nodes: make(map[netip.AddrPort]*contribution)}
}

func (a *account) demandTime() time.Duration {
	return min(max(minDemandTime, time.Duration(demandSamples/a.limit.rate*float64(time.Second))), maxDemandTime)
}

// refill adds the tokens of the time since the last call.
func (a *account) refill(now time.Time) {
	a.level += a.limit.rate * a.coverage * max(now.Sub(a.levelAt), 0).Seconds()
	a.level = min(a.level, a.burst()*a.coverage)
	a.levelAt = now
}

func (a *account) burst() float64 {
	return a.limit.burst - burstMargin*max(a.limit.burst-smallBurst, 0)
}

func (a *account) setLimit(now time.Time, limit Limit) {
	a.refill(now)
	a.limit = limit
	a.level = max(min(a.level, a.burst()), -limit.rate*debtTime.Seconds())
}

// record charges a node's usage to the account. A report that repeats requests of the last one counts only the difference.
func (a *account) record(now time.Time, node netip.AddrPort, number uint32, u Usage, members int) {
	a.refill(now)
	c := a.contribution(node)
	asked, admitted := u.Asked(), u.Admitted()
	continued := u.Base() == c.number || u.Base() == c.last.Base()
	if c.last.Base() == u.Base() && c.last.Asked() <= asked && c.last.Admitted() <= admitted {
		asked, admitted = asked-c.last.Asked(), admitted-c.last.Admitted()
	}
	c.last, c.number, c.reportedAt = u, number, now
	charge := float64(admitted) - c.reserved
	if !continued { // other requests were reported to another owner
		charge = max(charge, 0)
	}
	a.level -= charge
	c.reserved = 0
	recent := float64(asked)
	if limit := 4 * ReportInterval(members); u.Span() > limit {
		recent *= limit.Seconds() / u.Span().Seconds()
	}
	a.demand.add(now, recent, a.demandTime())
	a.total.add(now, recent, a.shareTime(members))
	c.demand.add(now, recent, a.shareTime(members))
}

// shareTime returns the time constant of the estimate of a node's share.
func (a *account) shareTime(members int) time.Duration {
	return min(max(minShareTime, time.Duration(shareSamples*float64(members)/a.limit.rate*float64(time.Second))), maxShareTime)
}

// share returns a node's share of the demand. One request is added for each member, so that nodes with few requests get about
// an equal share: shares are asked for right after a request, when a node's own count is above its mean.
func (a *account) share(now time.Time, c *contribution, members int) float64 {
	tau := a.shareTime(members)
	return (c.demand.count(now, tau) + 1) / (a.total.count(now, tau) + float64(members))
}

func (a *account) contribution(node netip.AddrPort) *contribution {
	c := a.nodes[node]
	if c == nil {
		c = &contribution{told: 1}
		a.nodes[node] = c
	}
	return c
}

// fraction returns the fraction of requests that nodes may admit now.
func (a *account) fraction(now time.Time) float64 {
	a.refill(now)
	demand := a.demand.at(now, a.demandTime())
	allowed := a.limit.rate*a.coverage + a.level/surplusTime.Seconds()
	if a.level < 0 {
		allowed = a.limit.rate*a.coverage + a.level/debtTime.Seconds()
	}
	if allowed >= demand {
		return 1
	}
	return max(allowed, 0) / demand
}

// grant returns what a node that has just reported may admit.
func (a *account) grant(now time.Time, node netip.AddrPort, members int) Share {
	c := a.nodes[node]
	c.share = a.share(now, c, members) * min(a.coverage, 1)
	c.told, c.toldAt = a.fraction(now), now
	return NewShare(a.id, c.told, c.share, a.limit.rate)
}

// initial reports whether the account does not know the demand of all nodes yet.
func (a *account) initial(now time.Time) bool { return now.Sub(a.createdAt) < learningTime }

// reserve charges what a node that is out of touch may have admitted since its last report, and returns its share.
func (a *account) reserve(now time.Time, c *contribution, reportedAt time.Time) float64 {
	due := c.share * a.limit.rate * now.Sub(reportedAt).Seconds()
	if c.reserved == 0 {
		a.level -= due // the time until the node was found to be out of touch
	}
	c.reserved = due
	return c.share
}

// updateTrend updates the mean of the fraction.
func (a *account) updateTrend(now time.Time) {
	kept := decay(now.Sub(a.trendAt), trendTime)
	a.trend, a.trendAt = a.trend*kept+a.fraction(now)*(1-kept), now
}

// push returns the fraction that a node must be told now without a report.
func (a *account) push(now time.Time, node netip.AddrPort) (Share, bool) {
	told, toldAt := 1.0, time.Time{}
	c := a.nodes[node]
	if c != nil {
		told, toldAt = c.told, c.toldAt
	}
	limited := a.trend < limitedTrend && a.demand.at(now, a.demandTime()) > minPushDemand*a.limit.rate
	decline := limited && (a.trend < pushDecline*told || c != nil && now.Sub(c.reportedAt) < time.Second && a.fraction(now) < pushDecline*told)
	rise := told < limitedTrend && a.trend > pushRise*told || told < 0.98 && a.trend > 0.99
	refresh := limited && told < limitedTrend && now.Sub(toldAt) >= pushRefresh
	if !decline && !rise && !refresh {
		return Share{}, false
	}
	c = a.contribution(node)
	c.told, c.toldAt = min(a.trend, 1), now
	if c.told > 0.99 {
		c.told = 1
	}
	if decline {
		c.told = min(c.told, a.fraction(now))
	}
	return NewShare(a.id, c.told, c.share, a.limit.rate), true
}
