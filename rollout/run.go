package rollout

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
)

const (
	maxReportGap     = 3 * time.Second // a longer one is that of a node without requests
	reportGapSamples = 32
)

// run is the roll-out of one service at the node that leads.
type run struct {
	settings Settings
	order    Order
	decision Decision // last one known to be in the store
	judge    *Judge
	halt     string // reason to send nothing to the target version any more

	steppedAt   time.Time // when the decision was adopted
	triedAt     time.Time // when an append failed last
	announcedAt time.Time // when the halted decision was announced last
	inFlight    map[member.Key]flight
	resumedAt   time.Time // when the node began or ceased to lead
	own         bool      // the node appended the decision while it led: the nodes report to it

	status       status // that was acknowledged last
	nextStatusAt time.Time
	statusFlying bool
	reportGap    time.Duration // moving average of the time between two reports of a node
}

// status identifies what a status record says.
type status struct {
	order uint64
	state string
}

func statusOf(d Decision) status { return status{order: d.Order(), state: d.Phase().State()} }

// flight is what a reporter said last about its requests in flight to the base version, and its guard.
type flight struct {
	sequence   uint64
	requests   int
	reportedAt time.Time
	guarded    bool
}

// situation is what a step depends on besides the run itself.
type situation struct {
	members []member.Member // of the service
	base    string          // version without a decision
	fleet   int             // members of the whole fleet
}

func newRun(settings Settings) *run {
	return &run{settings: settings, judge: NewJudge(), inFlight: make(map[member.Key]flight)}
}

// turnAt returns when the run last had its turn to append.
func (r *run) turnAt() time.Time {
	if r.triedAt.After(r.steppedAt) {
		return r.triedAt
	}
	return r.steppedAt
}

// started reports whether the last decision belongs to the last order.
func (r *run) started() bool {
	return r.decision.Sequence() != 0 && r.decision.Order() == r.order.Number()
}

// resume forgets what the node did when it led before.
func (r *run) resume(now time.Time) {
	r.resumedAt, r.own, r.inFlight = now, false, make(map[member.Key]flight)
	r.status, r.statusFlying = status{}, false
	r.judge = NewJudge()
}

// adoptAge takes over the order of a decision, or an earlier time of it. Ages only ever come out too small.
func (r *run) adoptAge(now time.Time, d Decision) {
	if d.Order() > r.order.Number() || d.Order() == r.order.Number() && now.Add(-d.Age()).Before(r.order.At()) {
		r.order = NewOrder(d.Service(), d.Target(), d.Limit(), d.Order(), now.Add(-d.Age()))
	}
}

// adopt takes over a decision of the store.
func (r *run) adopt(now time.Time, d Decision) {
	r.adoptAge(now, d)
	if d.Order() != r.decision.Order() {
		r.judge, r.halt = NewJudge(), ""
		r.inFlight = make(map[member.Key]flight)
	}
	r.decision, r.steppedAt, r.own = d, now, false
	if d.Phase() == PhaseShifting && len(r.judge.evidence) > 0 { // one that has just taken over has no evidence to doubt
		r.judge.finish(now)
	} else {
		r.judge.mark(now)
	}
}

// adoptHalt takes over that another node has halted the last decision.
func (r *run) adoptHalt(d Decision) {
	if d.Halted() && d.Sequence() == r.decision.Sequence() && r.halt == "" {
		r.halt = d.Reason()
	}
}

func (r *run) observe(now time.Time, reporter member.Key, c Counts) {
	r.judge.Observe(now, reporter, c)
	if last, known := r.inFlight[reporter]; known {
		r.reportGap += (min(now.Sub(last.reportedAt), maxReportGap) - r.reportGap) / reportGapSamples
	}
	r.inFlight[reporter] = flight{sequence: c.Sequence(), requests: c.InFlightBase(), reportedAt: now, guarded: c.Guarded()}
}

// guards returns the number of nodes whose guard has stopped the target version.
func (r *run) guards() int {
	n := 0
	for _, f := range r.inFlight {
		if f.guarded {
			n++
		}
	}
	return n
}

// announced returns the decision as nodes are told of it.
func (r *run) announced(now time.Time) Decision {
	d := r.decision.WithAge(now.Sub(r.order.At()))
	if r.halt != "" && r.started() {
		d = d.WithHalt(r.halt)
	}
	return d
}

// haltDue returns the halted decision if it has to be announced.
func (r *run) haltDue(now time.Time) (Decision, bool) {
	if r.halt == "" || !r.started() || r.decision.Final() || now.Sub(r.announcedAt) < announceInterval {
		return Decision{}, false
	}
	r.announcedAt = now
	return r.announced(now), true
}

func (r *run) active(now time.Time) bool {
	if r.order.Number() != 0 && (!r.started() || !r.decision.Final()) {
		return true
	}
	return r.statusPending(now)
}

// statusPending reports whether the state of the last decision is not known to be in the status record.
func (r *run) statusPending(now time.Time) bool {
	if r.decision.Sequence() == 0 || statusOf(r.decision) == r.status {
		return false
	}
	return r.status != status{} || now.Sub(r.order.At()) < r.order.Limit()+statusAge
}

func (r *run) statusDue(now time.Time) []Action {
	if !r.statusPending(now) || r.statusFlying || now.Before(r.nextStatusAt) {
		return nil
	}
	r.statusFlying = true
	return []Action{WriteStatus{r.decision}}
}

func (r *run) observeStatus(now time.Time, w WriteStatus, result StoreResult) {
	r.statusFlying = false
	if result == StoreUnknown {
		r.nextStatusAt = now.Add(statusRetryInterval)
		return
	}
	r.status = statusOf(w.decision)
}
