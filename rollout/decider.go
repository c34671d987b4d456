package rollout

import (
	"slices"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/member"
)

const (
	// readRetryInterval is the time from a failed read of the topic to the next one.
	readRetryInterval = 500 * time.Millisecond
	// statusRetryInterval is the time from a failed write of a status record to the next one.
	statusRetryInterval = 500 * time.Millisecond
	// resultTimeout is the time after which a read counts as failed, and the result of an append as unknown.
	resultTimeout = 5 * time.Second
	// announceInterval is the time between two announcements of a halted decision, which nodes may have missed.
	announceInterval = 500 * time.Millisecond
	// maxTickGap is the time between two ticks from which the process must have hung: another node may have decided
	// meanwhile, so that the topic is read before anything is decided.
	maxTickGap = 1500 * time.Millisecond
	// statusAge is the time after the end of a roll-out's limit in which a node that takes over writes its final status
	// again, as the one before may have stopped between the decision and the status.
	statusAge = time.Minute
)

// Settings configures a Decider.
type Settings struct {
	ExposureShare float64       // greatest share of a service's requests that may reach a bad version
	ExposureSlack int           // requests that may reach it in addition
	RollbackTime  time.Duration // time from the evidence against a version after which it gets nothing; 0 means no bound
}

// Decider is the state machine of the roll-outs of all services at the node that leads: the one that reads the operator's
// document first. At other nodes it only keeps what it may need to take over. It is not safe for concurrent use.
type Decider struct {
	settings Settings
	runs     map[string]*run
	bases    map[string]baseVersion
	view     *member.View
	leads    bool
	tickedAt time.Time

	informed   bool   // the topic was read since the node leads: it may halt, and answers reports
	synced     bool   // the topic was read up to end after the last append: the node may append
	end        uint64 // offset at which the topic ends, as far as it was read
	reading    bool
	readAt     time.Time
	nextReadAt time.Time
	appending  *AppendDecision // without result yet
	appendedAt time.Time
}

// NewDecider returns a decider that does not lead.
func NewDecider(settings Settings) *Decider {
	return &Decider{settings: settings, runs: make(map[string]*run), bases: make(map[string]baseVersion)}
}

// Lead says whether the node reads the operator's document first. A node that begins to lead reads the topic before it
// decides anything.
func (d *Decider) Lead(now time.Time, leads bool) []Action {
	if leads == d.leads {
		return nil
	}
	d.leads, d.informed = leads, false
	d.desynchronise()
	d.tickedAt = now
	for _, r := range d.runs {
		r.resume(now)
	}
	return d.Tick(now)
}

// Leads reports whether the node decides: it reads the operator's document first and knows all decisions.
func (d *Decider) Leads() bool { return d.leads && d.informed }

// ObserveOrder takes in an order. An order that is known already, or older than the known one, has no effect.
func (d *Decider) ObserveOrder(now time.Time, o Order) []Action {
	r := d.run(o.Service())
	if o.Number() <= r.order.Number() {
		return nil
	}
	r.order = o
	r.judge, r.halt = NewJudge(), ""
	return d.Tick(now)
}

func (d *Decider) run(service string) *run {
	r := d.runs[service]
	if r == nil {
		r = newRun(d.settings)
		d.runs[service] = r
	}
	return r
}

// ObserveDecisions takes in the decisions that a ReadDecisions found, in their order, and where the topic ends.
func (d *Decider) ObserveDecisions(now time.Time, decisions []Decision, end uint64) []Action {
	d.reading = false
	for _, decision := range decisions {
		d.adopt(now, decision)
	}
	d.informed, d.synced, d.end = true, true, end
	var out []Action
	for _, service := range d.services() {
		if r := d.runs[service]; r.started() && (r.steppedAt.Equal(now) || !r.decision.Final()) {
			out = append(out, Announce{r.announced(now)})
		}
	}
	return append(out, d.Tick(now)...)
}

// ObserveReadFailure takes in that a ReadDecisions failed.
func (d *Decider) ObserveReadFailure(now time.Time) []Action {
	d.reading, d.nextReadAt = false, now.Add(readRetryInterval)
	return nil
}

// ObserveAnnouncement takes in a decision that another node sent. If it is newer than what the node has read, another node
// decides too, and the topic has to be read.
func (d *Decider) ObserveAnnouncement(now time.Time, decision Decision) []Action {
	r := d.run(decision.Service())
	if decision.Sequence() > r.decision.Sequence() {
		r.adopt(now, decision)
		d.informed = d.informed && decision.Sequence() <= d.end
	}
	r.adoptHalt(decision)
	r.adoptAge(now, decision)
	return nil
}

func (d *Decider) adopt(now time.Time, decision Decision) {
	r := d.run(decision.Service())
	if decision.Sequence() > r.decision.Sequence() {
		r.adopt(now, decision)
	}
}

// ObserveMembers takes in a view of the fleet.
func (d *Decider) ObserveMembers(_ time.Time, view *member.View) []Action {
	d.view = view
	return nil
}

// ObserveCounts takes in the counts of a reporter, the node itself included.
func (d *Decider) ObserveCounts(now time.Time, reporter member.Key, c Counts) []Action {
	r := d.runs[c.Service()]
	if !d.leads || r == nil {
		return nil
	}
	if c.Sequence() > max(d.end, r.decision.Sequence()) {
		d.informed = false
	}
	if c.Order() == r.order.Number() {
		r.observe(now, reporter, c)
	}
	return nil
}

// ObserveAppend takes in the result of an AppendDecision.
func (d *Decider) ObserveAppend(now time.Time, a AppendDecision, result StoreResult) []Action {
	if d.appending == nil || *d.appending != a {
		return nil // of an earlier time in which the node led
	}
	d.appending = nil
	if result != StoreDone {
		d.runs[a.decision.Service()].triedAt = now
		d.desynchronise()
		return d.Tick(now)
	}
	d.end = max(d.end, a.end+1)
	d.adopt(now, a.decision)
	d.runs[a.decision.Service()].own = true
	announced := d.runs[a.decision.Service()].announced(now)
	return append([]Action{Announce{announced}}, d.Tick(now)...)
}

// desynchronise makes the node read the topic again before it decides anything.
func (d *Decider) desynchronise() {
	d.synced, d.appending, d.reading = false, nil, false
}

// ObserveStatus takes in the result of a WriteStatus.
func (d *Decider) ObserveStatus(now time.Time, w WriteStatus, result StoreResult) []Action {
	d.run(w.decision.Service()).observeStatus(now, w, result)
	return nil
}

// Halt stops the roll-out of a service, as an operator asks for: nothing more goes to the target version, and the
// roll-out is rolled back. It reports false if the node does not lead or no roll-out of the service is running.
func (d *Decider) Halt(now time.Time, service, reason string) ([]Action, bool) {
	r := d.runs[service]
	if !d.Leads() || r == nil || !r.started() || r.decision.Final() {
		return nil, false
	}
	r.halt = reason
	return d.Tick(now), true
}

// Decision returns the decision of a service in force, with the answer to a report of counts. It reports false unless the
// node leads and has read all decisions.
func (d *Decider) Decision(now time.Time, service string) (Decision, bool) {
	r := d.runs[service]
	if !d.Leads() || r == nil || r.decision.Sequence() == 0 {
		return Decision{}, false
	}
	return r.announced(now), true
}

// Tick handles what is due. It must be called several times a second while Active.
func (d *Decider) Tick(now time.Time) []Action {
	hung := now.Sub(d.tickedAt) > maxTickGap
	d.tickedAt = now
	if !d.leads || d.view == nil || !d.Active() {
		return nil
	}
	if hung || d.appending != nil && now.Sub(d.appendedAt) > resultTimeout {
		d.informed = d.informed && !hung
		d.desynchronise()
	}
	var out []Action
	if !d.informed || !d.synced {
		out = d.read(now)
	}
	if !d.informed {
		return out
	}
	for _, service := range d.services() {
		out = append(out, d.step(now, service, d.runs[service])...)
	}
	return out
}

func (d *Decider) read(now time.Time) []Action {
	if now.Before(d.nextReadAt) || d.reading && now.Sub(d.readAt) < resultTimeout {
		return nil
	}
	d.reading, d.readAt, d.nextReadAt = true, now, now.Add(readRetryInterval)
	return []Action{ReadDecisions{from: d.end}}
}

// services returns the services in a fixed order, that with the oldest step first, so that each gets its turn.
func (d *Decider) services() []string {
	services := make([]string, 0, len(d.runs))
	for service := range d.runs {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b string) int {
		if c := d.runs[a].turnAt().Compare(d.runs[b].turnAt()); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return services
}

func (d *Decider) step(now time.Time, service string, r *run) []Action {
	members := d.view.Service(service)
	d.bases[service] = d.bases[service].update(now, members, r.decision)
	out := r.statusDue(now)
	next, due := r.next(now, situation{members: members, base: d.bases[service].version, fleet: len(d.view.Members())})
	if halted, ok := r.haltDue(now); ok {
		out = append(out, Announce{halted})
	}
	if due && d.synced && d.appending == nil {
		a := AppendDecision{decision: next.WithSequence(d.end + 1), end: d.end}
		d.appending, d.appendedAt = &a, now
		out = append(out, a)
	}
	return out
}

// Active reports whether there is an order without a final decision, or a final decision whose status is not written.
func (d *Decider) Active() bool {
	for _, r := range d.runs {
		if r.active(d.tickedAt) {
			return true
		}
	}
	return false
}

// Statuses returns the state of each service's roll-out, for operators.
func (d *Decider) Statuses(now time.Time) []ServiceStatus {
	var all []ServiceStatus
	for _, r := range d.runs {
		if r.decision.Sequence() == 0 {
			continue
		}
		s := ServiceStatus{decision: r.announced(now), guards: r.guards()}
		s.verdict, s.reason = r.judge.Verdict(now)
		s.baseRequests, s.targetRequests = r.judge.Requests()
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b ServiceStatus) int { return strings.Compare(a.decision.Service(), b.decision.Service()) })
	return all
}
