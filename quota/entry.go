package quota

import "time"

const (
	// fractionTime is the time constant with which a granted fraction returns to 1 while the node has no requests of the
	// organisation. Owners tell all nodes when an organisation starts and stops being limited.
	fractionTime = time.Minute
	// surgeFactor and surgeMargin set the number of requests since the last report, relative to that in the time before,
	// from which a node reports early.
	surgeFactor = 2.5
	surgeMargin = 2.5
	// initialFactor is how much more than an equal share of the quota a node admits before its first grant.
	initialFactor = 2
)

// entry is what a limiter knows of an organisation.
type entry struct {
	id    ID
	name  string
	limit Limit

	pending       bool // whether there are requests since the last answered report
	pendingSince  time.Time
	lastAskedAt   time.Time
	base          uint32 // number of the last answered report
	asked         uint32 // since then
	admitted      uint32 // since then
	sent          Usage  // in the last report
	sentNumber    uint32
	sentAt        time.Time
	askedRate     float64 // requests per second before the last report
	unanswered    bool    // whether the last report has no answer
	totalAsked    uint64  // up to base
	totalAdmitted uint64  // up to base

	fraction    float64
	share       float64 // of the demand of all nodes; 0 if unknown
	grantedRate float64
	grantedAt   time.Time
	position    float64 // in the even sequence of admitted requests
	local       bool    // whether the bucket below decides, since the owner does not answer
	late        bool    // whether the bucket limits, since an answer is late
	tokens      float64
	tokensAt    time.Time
}

// newEntry returns the entry of an organisation without a grant. offset, in [0, 1), differs from node to node, so that nodes
// with few requests each do not all admit or refuse their first ones.
func newEntry(id ID, limit Limit, offset float64, now time.Time, members int) *entry {
	return &entry{id: id, limit: limit, fraction: 1, position: offset, tokens: initialTokens(limit, members), tokensAt: now}
}

// initialTokens returns the depth of the bucket of a node without a grant. It admits a first request in any case, since
// an organisation with few requests may have none before the grant expires.
func initialTokens(limit Limit, members int) float64 {
	return 1 + limit.burst/float64(members)
}

// setLimit applies the limit of the table in force at the node.
func (e *entry) setLimit(limit Limit) { e.limit = limit }

func (e *entry) admit(now time.Time, members int, silence time.Duration) bool {
	switch {
	case silence >= answerTimeout:
		return e.admitLocally(now, members)
	case silence >= lateAnswer && !e.grantedAt.IsZero():
		return e.admitFraction(now) && e.admitLate(now, members)
	case !e.grantedAt.IsZero():
		e.local, e.late = false, false
		return e.admitFraction(now)
	}
	return e.take(now, initialFactor/float64(members)*e.limit.rate, initialTokens(e.limit, members))
}

// admitFraction admits the granted fraction of requests in an even sequence. If the node's table has a lower limit than the
// owner's, it admits proportionally less.
func (e *entry) admitFraction(now time.Time) bool {
	fraction := e.fraction
	if age := now.Sub(e.grantedAt); fraction < 1 && age > time.Second {
		fraction = 1 - (1-fraction)*decay(age-time.Second, fractionTime)
	}
	if e.limit.rate < e.grantedRate {
		fraction *= e.limit.rate / e.grantedRate
	}
	if fraction >= 1 {
		return true
	}
	if e.position += fraction; e.position < 1 {
		return false
	}
	e.position--
	return true
}

// admitLocally admits the node's share of the rate while the owner does not answer. The owner keeps this share back. The
// bucket starts with a random part of one request, so that many small shares add up to the right sum.
func (e *entry) admitLocally(now time.Time, members int) bool {
	share := e.shareOf(members)
	if !e.local {
		e.local, e.late = true, false
		e.tokens, e.tokensAt = e.position, now
	}
	return e.take(now, share*e.limit.rate, max(1, share*e.limit.burst))
}

// admitLate limits what a node admits while an answer is late, which may be the first sign that it is cut off.
func (e *entry) admitLate(now time.Time, members int) bool {
	if !e.late {
		e.late = true
		e.tokens, e.tokensAt = 1+e.position, now
	}
	return e.take(now, lateFactor*e.shareOf(members)*e.limit.rate, 2)
}

func (e *entry) shareOf(members int) float64 {
	if e.share == 0 {
		return 1 / float64(members)
	}
	return e.share
}

// take takes a token from the bucket.
func (e *entry) take(now time.Time, rate, depth float64) bool {
	e.tokens = min(depth, e.tokens+rate*max(now.Sub(e.tokensAt), 0).Seconds())
	e.tokensAt = now
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// reportsEarly reports whether the owner must hear of the usage before the next regular report: the requests have become
// many more, there were none for an interval before, or the last report was not answered.
func (e *entry) reportsEarly(now time.Time, interval time.Duration) bool {
	elapsed := now.Sub(e.sentAt)
	if e.asked == 0 || elapsed < minReportInterval {
		return false
	}
	expected := e.askedRate * min(elapsed, time.Second).Seconds()
	return e.unanswered || elapsed >= interval || float64(e.unsent()) > surgeFactor*expected+surgeMargin
}

// unsent returns the number of requests that are in no report.
func (e *entry) unsent() uint32 {
	if e.sent.Base() != e.base {
		return e.asked
	}
	return e.asked - e.sent.Asked()
}

// report returns the usage since the last answered report.
func (e *entry) report(now time.Time, number uint32) Usage {
	if elapsed := now.Sub(e.sentAt); elapsed > 0 {
		e.askedRate = float64(e.unsent()) / elapsed.Seconds()
	}
	e.sent = NewUsage(e.id, e.base, e.asked, e.admitted, now.Sub(e.pendingSince))
	e.sentNumber, e.sentAt = number, now
	e.unanswered = true
	return e.sent
}

func (e *entry) dropPending() {
	e.totalAsked += uint64(e.asked)
	e.totalAdmitted += uint64(e.admitted)
	e.asked, e.admitted, e.pending, e.unanswered = 0, 0, false, false
	e.base = e.sentNumber
}

// apply stores a grant. If keep is true, the owner does not know the demand of all nodes yet, and a lower
// fraction of its predecessor holds.
func (e *entry) apply(now time.Time, number uint32, keep bool, s Share) {
	keep = keep && !e.grantedAt.IsZero() && s.Fraction() >= e.fraction
	if number != 0 {
		e.acknowledge(number)
	}
	e.grantedAt = now
	if keep {
		return
	}
	e.fraction, e.grantedRate = s.Fraction(), s.Rate()
	if s.Share() > 0 {
		e.share = s.Share()
	}
}

// acknowledge forgets the requests of an answered report.
func (e *entry) acknowledge(number uint32) {
	e.unanswered = false
	if number != e.sentNumber || e.sent.Base() != e.base {
		return
	}
	e.base = number
	e.asked -= e.sent.Asked()
	e.admitted -= e.sent.Admitted()
	e.totalAsked += uint64(e.sent.Asked())
	e.totalAdmitted += uint64(e.sent.Admitted())
	e.pendingSince = e.sentAt
}
