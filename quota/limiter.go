package quota

import (
	"math/rand/v2"
	"time"

	"github.com/bambooknot/bambooknot/routing"
)

const (
	// idleRetention is the time after its last request for which a limiter remembers an organisation.
	idleRetention = 2 * time.Minute
	// idleTime is the time after its last request for which an organisation stays in the list of those with requests.
	idleTime = 2 * time.Second
	// reportRetention is the time after the last request for which an unanswered report is repeated.
	reportRetention = 10 * time.Second
	// maxEntries bounds the memory for organisations that are in no table any more.
	maxEntries = 1 << 16
)

// Limiter is a node's part: it admits requests of organisations with a quota and counts them. It is not safe for concurrent
// use, see Shared.
type Limiter struct {
	rnd        *rand.Rand
	members    int // greatest number of members known
	entries    map[ID]*entry
	unanswered []time.Time // by bucket, when the first report without an answer was sent; zero if there is none
	answered   []time.Time // by bucket, when the last answer arrived
	isolated   bool        // whether most owners do not answer
	pending    []*entry    // with requests since the last answered report
	lastNumber uint32      // of the reports sent
	nextExpiry time.Time
	refusals   uint32
}

// NewLimiter returns a limiter without a grant.
func NewLimiter(rnd *rand.Rand) *Limiter {
	return &Limiter{rnd: rnd, members: 1, unanswered: make([]time.Time, 1), answered: make([]time.Time, 1), entries: make(map[ID]*entry)}
}

// SetMembers sets the number of members that share the quotas.
func (l *Limiter) SetMembers(n int) {
	l.members = max(n, 1)
	if buckets := Buckets(n); buckets != len(l.unanswered) {
		l.unanswered, l.answered = make([]time.Time, buckets), make([]time.Time, buckets)
	}
}

// silence returns for how long the owner of an organisation has not answered, possibly to reports about other organisations. It
// is answerTimeout if an answer is unlikely, since most owners do not answer.
func (l *Limiter) silence(now time.Time, id ID) time.Duration {
	bucket := id.Bucket(len(l.unanswered))
	if since := l.unanswered[bucket]; !since.IsZero() {
		return now.Sub(since)
	}
	if l.isolated && now.Sub(l.answered[bucket]) >= answerLifetime {
		return answerTimeout
	}
	return 0
}

// updateIsolated compares the owners that do not answer with those that have answered recently.
func (l *Limiter) updateIsolated(now time.Time) {
	difference := 0
	for bucket, since := range l.unanswered {
		switch {
		case !since.IsZero() && now.Sub(since) >= answerTimeout:
			difference++
		case now.Sub(l.answered[bucket]) < answerLifetime:
			difference--
		}
	}
	l.isolated = difference > 0
}

// Admit decides on a request and counts it. If it is refused, retryAfter is the time after which another one is likely to be
// admitted.
func (l *Limiter) Admit(now time.Time, organisation routing.Organisation) (admitted bool, retryAfter time.Duration) {
	if !organisation.Limited() {
		return true, 0
	}
	e := l.entry(now, organisation)
	e.setLimit(LimitOf(organisation))
	if !e.pending {
		e.pending, e.pendingSince = true, now
		l.pending = append(l.pending, e)
	}
	e.asked++
	admitted = e.admit(now, l.members, l.silence(now, e.id))
	e.lastAskedAt = now
	if admitted {
		e.admitted++
		return true, 0
	}
	return false, l.retryAfter(e)
}

func (l *Limiter) entry(now time.Time, organisation routing.Organisation) *entry {
	id := NewID(organisation.Name())
	e := l.entries[id]
	if e == nil {
		e = newEntry(id, LimitOf(organisation), l.rnd.Float64(), now, l.members)
		l.keep(e)
	}
	e.name = organisation.Name()
	return e
}

func (l *Limiter) keep(e *entry) {
	if len(l.entries) < maxEntries {
		l.entries[e.id] = e
	}
}

// Bounds of the Retry-After time. Callers come back after about the time in which the fraction changes noticeably.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
)

// retryAfter returns a time that is longer the smaller the fraction. The multiples of the golden ratio spread the callers
// evenly over a quarter of it in both directions.
func (l *Limiter) retryAfter(e *entry) time.Duration {
	l.refusals++
	spread := float64(l.refusals*2654435769) / (1 << 32)
	delay := max(minRetryAfter, time.Duration((1-e.fraction)*float64(maxRetryAfter)))
	return time.Duration(float64(delay) * (0.75 + 0.5*spread))
}

// Pending reports whether there are requests that no answered report contains.
func (l *Limiter) Pending() bool { return len(l.pending) > 0 }

// Reports returns the usage to report now, and its number, which the owners' answers repeat. Requests whose report was not
// answered are reported again. If all is false, only those that cannot wait for the next regular report and those for which
// urgent returns true are included.
func (l *Limiter) Reports(now time.Time, all bool, urgent func(ID) bool) (number uint32, usages []Usage) {
	l.expire(now)
	l.updateIsolated(now)
	l.lastNumber++
	kept, interval := l.pending[:0], ReportInterval(l.members)
	for _, e := range l.pending {
		if e.asked == 0 && now.Sub(e.lastAskedAt) < idleTime {
			kept = append(kept, e)
			continue
		}
		if e.asked == 0 || now.Sub(e.lastAskedAt) > reportRetention {
			e.dropPending()
			continue
		}
		kept = append(kept, e)
		if !all && !e.reportsEarly(now, interval) && !urgent(e.id) {
			continue
		}
		usages = append(usages, e.report(now, l.lastNumber))
		if since := &l.unanswered[e.id.Bucket(len(l.unanswered))]; since.IsZero() {
			*since = now
		}
	}
	clear(l.pending[len(kept):])
	l.pending = kept
	return l.lastNumber, usages
}

func (l *Limiter) expire(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(idleRetention / 4)
	for id, e := range l.entries {
		if !e.pending && now.Sub(e.lastAskedAt) > idleRetention {
			delete(l.entries, id)
		}
	}
}

// Apply handles the answer of an owner to the report with the given number, or, if it is 0, a grant without a report.
// initial states that the owner does not know the demand of all nodes yet.
func (l *Limiter) Apply(now time.Time, number uint32, initial bool, shares []Share) {
	for _, s := range shares {
		e := l.entries[s.ID()]
		if e == nil {
			e = newEntry(s.ID(), NewLimit(s.Rate(), 0), l.rnd.Float64(), now, l.members)
			e.lastAskedAt = now
			l.keep(e)
		}
		e.apply(now, number, initial && l.silence(now, e.id) < answerTimeout, s)
	}
	if number != 0 && len(shares) > 0 {
		bucket := shares[0].ID().Bucket(len(l.unanswered))
		l.unanswered[bucket], l.answered[bucket] = time.Time{}, now
	}
}

// LimiterStatus is what a limiter does with an organisation.
type LimiterStatus struct {
	name     string
	asked    uint64
	admitted uint64
}

// Name returns the name of the organisation.
func (s LimiterStatus) Name() string { return s.name }

// Asked returns the number of its requests so far.
func (s LimiterStatus) Asked() uint64 { return s.asked }

// Admitted returns how many of these were admitted.
func (s LimiterStatus) Admitted() uint64 { return s.admitted }

// Status returns the requests of all organisations that the limiter remembers, in no particular order.
func (l *Limiter) Status() []LimiterStatus {
	all := make([]LimiterStatus, 0, len(l.entries))
	for _, e := range l.entries {
		all = append(all, LimiterStatus{name: e.name, asked: e.totalAsked + uint64(e.asked), admitted: e.totalAdmitted + uint64(e.admitted)})
	}
	return all
}
