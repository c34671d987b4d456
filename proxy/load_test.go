package proxy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/balance"
	"github.com/bambooknot/bambooknot/exchange"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
)

// The deployment of these tests: 12 servers of one service in two regions, of which some are more than twice as fast as
// others, as the users' are.
const (
	loadServers = 12
	loadSlots   = 18
	loadTime    = 15 * time.Second
	loadWarmUp  = 5 * time.Second // not counted
)

var loadSpeeds = []float64{0.6, 1, 1.4} // by which running times are multiplied

// loadClass is a kind of requests.
type loadClass struct {
	urgency  int
	share    float64
	work     time.Duration
	target   time.Duration
	deadline time.Duration
}

var loadClasses = []loadClass{
	{urgency: 0, share: 0.2, work: 150 * time.Millisecond, target: 500 * time.Millisecond, deadline: 1200 * time.Millisecond},
	{urgency: 1, share: 0.25, work: 290 * time.Millisecond, target: 800 * time.Millisecond, deadline: 2 * time.Second},
	{urgency: 2, share: 0.55, work: 220 * time.Millisecond, target: 800 * time.Millisecond, deadline: 2 * time.Second},
}

// loadWorld plays requests through the decisions of both nodes in virtual time.
type loadWorld struct {
	rnd     *rand.Rand
	now     time.Time
	agenda  loadAgenda
	view    *member.View
	owners  []*loadOwner
	callers []*balance.Machine
	plain   bool // round robin and no limits, as a baseline
	turn    int
	met     []float64
	asked   []float64
}

type loadOwner struct {
	machine  *admission.Queue
	expected *expectation
	speed    float64
	next     admission.ID
	waiting  map[admission.ID]*loadRequest
}

type loadRequest struct {
	class   int
	begun   time.Time // of the caller's first attempt
	came    time.Time // of this attempt
	caller  int
	tried   []member.Key
	owner   int
	returns int
}

func newLoadWorld(plain bool, seed uint64) *loadWorld {
	w := &loadWorld{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), plain: plain,
		met: make([]float64, len(loadClasses)), asked: make([]float64, len(loadClasses)),
	}
	places := []member.Place{member.NewPlace("a", "a1"), member.NewPlace("b", "b1"), member.NewPlace("a", "a2"), member.NewPlace("b", "b2")}
	var members []member.Member
	for i := range loadServers {
		key := member.NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000), 1)
		m := member.New(key, places[i%len(places)], record.SchemaNewest).WithServer(member.NewServer("s", member.ServerReady, loadSlots))
		members = append(members, m)
		settings := admission.Settings{QueueLimit: maxQueue, MaxWait: maxQueueWait}
		if plain {
			settings = admission.Settings{QueueLimit: math.MaxInt, MaxWait: time.Hour}
		}
		w.owners = append(w.owners, &loadOwner{
			machine: admission.NewQueue(settings, loadSlots), expected: newExpectation(),
			speed: loadSpeeds[i/len(places)%len(loadSpeeds)], waiting: make(map[admission.ID]*loadRequest),
		})
		w.callers = append(w.callers, balance.New(balance.Settings{CrossRegionBackoff: 500 * time.Millisecond}, key, m.Place(), rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	w.view = member.NewView(members[0].Key(), members)
	return w
}

// play returns the share of each class that was answered within its target, at a multiple of what all servers can run.
func (w *loadWorld) play(times float64) []float64 {
	work, capacity := 0.0, 0.0
	for _, c := range loadClasses {
		work += c.share * c.work.Seconds()
	}
	for _, o := range w.owners {
		capacity += loadSlots / (work * o.speed)
	}
	start, gap := w.now, time.Duration(float64(time.Second)/(capacity*times))
	for at := start; at.Before(start.Add(loadTime)); at = at.Add(time.Duration(w.rnd.ExpFloat64() * float64(gap))) {
		w.at(at, func() { w.arrive(&loadRequest{class: w.draw(), begun: w.now, caller: w.rnd.IntN(loadServers)}, start) })
	}
	for len(w.agenda) > 0 {
		e := heap.Pop(&w.agenda).(loadEvent)
		w.now = e.at
		e.do()
	}
	shares := make([]float64, len(loadClasses))
	for i := range shares {
		shares[i] = w.met[i] / w.asked[i]
	}
	return shares
}

func (w *loadWorld) draw() int {
	left := w.rnd.Float64()
	for i, c := range loadClasses {
		if left -= c.share; left < 0 {
			return i
		}
	}
	return len(loadClasses) - 1
}

func (w *loadWorld) arrive(q *loadRequest, start time.Time) {
	if w.now.Sub(start) >= loadWarmUp {
		w.asked[q.class]++
	} else {
		q.returns = -1 // not counted
	}
	q.came = w.now
	w.try(q)
}

// try sends a request to the next server, or refuses it.
func (w *loadWorld) try(q *loadRequest) {
	key, ok := w.choose(q)
	if !ok {
		w.refuse(q, defaultRetryAfter)
		return
	}
	q.owner = slices.IndexFunc(w.view.Members(), func(m member.Member) bool { return m.Key() == key })
	w.callers[q.caller].RecordStart(key)
	q.tried = append(q.tried, key)
	w.after(w.way(q), func() { w.offer(q) })
}

func (w *loadWorld) choose(q *loadRequest) (member.Key, bool) {
	if w.plain {
		w.turn++
		return w.view.Members()[w.turn%loadServers].Key(), len(q.tried) == 0
	}
	if len(q.tried) == maxTries {
		return member.Key{}, false
	}
	m, ok := w.callers[q.caller].Choose(w.now, w.view, "s", q.tried)
	return m.Key(), ok
}

// way returns the time from a caller's node to that of the server.
func (w *loadWorld) way(q *loadRequest) time.Duration {
	from, to := w.view.Members()[q.caller].Place(), w.view.Members()[q.owner].Place()
	switch {
	case from == to:
		return 200 * time.Microsecond
	case from.Region() == to.Region():
		return 900 * time.Microsecond
	}
	return 20 * time.Millisecond
}

func (q *loadRequest) call(now time.Time) Call {
	c := loadClasses[q.class]
	return Call{kind: routing.KindUnsafe, urgency: c.urgency, left: q.came.Add(c.deadline).Sub(now), target: q.came.Add(c.target).Sub(now)}
}

func (w *loadWorld) offer(q *loadRequest) {
	o, c := w.owners[q.owner], q.call(w.now)
	latest := latestStart(w.now, c, o.expected.most(c))
	if w.plain {
		latest = w.now.Add(time.Hour)
	} else if hopeless(c, o.expected.least(c)) {
		w.back(q, notRun(ReasonDeadlineExceeded))
		return
	}
	o.next++
	o.waiting[o.next] = q
	priority := urgencyOf(c)
	if w.plain {
		priority = 0
	}
	decision, change := o.machine.Offer(w.now, o.next, priority, latest)
	switch decision {
	case admission.DecisionRun:
		w.run(o, o.next)
	case admission.DecisionRefuse:
		w.refused(o, o.next)
	default:
		w.at(latest, func() { w.settle(o, o.machine.Expire(w.now)) })
	}
	w.settle(o, change)
}

func (w *loadWorld) settle(o *loadOwner, change admission.Change) {
	for _, id := range change.Granted() {
		w.run(o, id)
	}
	for _, id := range change.Refused() {
		w.refused(o, id)
	}
}

func (w *loadWorld) refused(o *loadOwner, id admission.ID) {
	q := o.waiting[id]
	delete(o.waiting, id)
	r := notRun(ReasonFull)
	r.retryAfter = expectedRoom(o.machine.Queued(), loadSlots, loadClasses[q.class].work)
	w.back(q, r)
}

func (w *loadWorld) run(o *loadOwner, id admission.ID) {
	q := o.waiting[id]
	delete(o.waiting, id)
	work := loadClasses[q.class].work.Seconds() * o.speed * (0.7 + 0.6*w.rnd.Float64())
	took := time.Duration(work * float64(time.Second))
	w.after(took, func() {
		o.expected.ran(q.call(w.now), took)
		w.settle(o, o.machine.Done(w.now, took))
		w.back(q, answered(exchange.NewResponse(200, nil, nil)))
	})
}

// back brings a result to the caller's node.
func (w *loadWorld) back(q *loadRequest, r Result) {
	o := w.owners[q.owner]
	r.load = balance.NewLoad(o.machine.Running(), o.machine.Queued())
	took := w.now.Sub(q.came)
	w.after(w.way(q), func() {
		key, caller := q.tried[len(q.tried)-1], w.callers[q.caller]
		caller.RecordLoad(w.now, key, r.load)
		caller.RecordEnd(w.now, key, outcomeFor(r))
		if r.ending != OutcomeAnswered {
			w.again(q, r)
			return
		}
		caller.RecordLatency(key, took)
		if q.returns >= 0 && w.now.Sub(q.begun) <= loadClasses[q.class].target {
			w.met[q.class]++
		}
	})
}

func (w *loadWorld) again(q *loadRequest, r Result) {
	if len(q.tried) == maxTries {
		w.refuse(q, max(r.retryAfter, minRetryAfter))
		return
	}
	w.try(q)
}

// refuse tells a caller to come back, which it does once if a third of its time suffices.
func (w *loadWorld) refuse(q *loadRequest, after time.Duration) {
	left := q.begun.Add(loadClasses[q.class].deadline).Sub(w.now)
	if q.returns != 0 || after > left/3 {
		return
	}
	q.returns, q.tried = 1, nil
	w.after(after, func() {
		q.came = w.now
		w.try(q)
	})
}

func (w *loadWorld) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *loadWorld) at(t time.Time, do func()) { heap.Push(&w.agenda, loadEvent{at: t, do: do}) }

type loadEvent struct {
	at time.Time
	do func()
}

// loadAgenda is a heap of events.
type loadAgenda []loadEvent

func (a loadAgenda) Len() int           { return len(a) }
func (a loadAgenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a loadAgenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *loadAgenda) Push(e any)        { *a = append(*a, e.(loadEvent)) }

// Pop implements heap.Interface.
func (a *loadAgenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// TestCallersAreServedUnderLoad plays loads below and above what the servers can run, and checks what callers get: within
// capacity nearly all, above it the more urgent first and most of the capacity used. Round robin without limits must do
// worse on the same load.
func TestCallersAreServedUnderLoad(t *testing.T) {
	for _, load := range []struct {
		times float64
		least []float64 // share answered within the target, by class
	}{
		{0.7, []float64{0.99, 0.99, 0.98}},
		{1.2, []float64{0.95, 0.95, 0.4}},
		{1.6, []float64{0.95, 0.9, 0.1}},
	} {
		ours, plain := newLoadWorld(false, 1).play(load.times), newLoadWorld(true, 1).play(load.times)
		t.Logf("%.1f times the capacity: %.3f, round robin without limits: %.3f", load.times, ours, plain)
		comment := qt.Commentf("%.1f times: %.3f, baseline %.3f", load.times, ours, plain)
		for class, least := range load.least {
			qt.Check(t, ours[class] >= least, qt.IsTrue, comment)
			qt.Check(t, ours[class] > plain[class], qt.IsTrue, comment)
		}
		qt.Check(t, ours[0] >= ours[1]-0.02 && ours[1] >= ours[2]-0.02, qt.IsTrue, comment)
	}
}
