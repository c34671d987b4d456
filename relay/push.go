package relay

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// handledLimit bounds the pushes remembered as passed on.
const handledLimit = 32

// tree is the node's place in the tree of the latest push.
type tree struct {
	origin     member.Key
	seq        uint64
	parent     netip.AddrPort // zero at the root
	children   []netip.AddrPort
	reports    map[netip.AddrPort]message.Census
	regions    []message.Census // per region, as the root says
	dirty      time.Time        // when the counts changed since the last report, or zero
	handled    []handled
	deliveries []delivery
	pushed     uint64    // pushes originated
	pushedAt   time.Time // time of the last push originated
}

func newTree() tree { return tree{reports: make(map[netip.AddrPort]message.Census)} }

// handled is a push that this node has passed on.
type handled struct {
	origin member.Key
	seq    uint64
	span   message.Span
}

// delivery is a push that has not been answered.
type delivery struct {
	push       message.Push
	region     member.Region
	candidates []netip.AddrPort
	tried      int
	due        time.Time
}

// originate pushes entries, or a heartbeat without any, to the node's own region and to the others.
func (m *Machine) originate(now time.Time, entries message.Entries) {
	m.tree.pushed++
	m.tree.pushedAt = now
	m.counts.Pushes++
	m.refreshRoot(now)
	push := message.NewPush(m.self.Key(), m.tree.pushed, wholeSpan, entries, m.tree.regions)
	m.handle(push)
	m.takePlace(push, netip.AddrPort{})
	m.delegate(now, push, m.self.Key().Peer())
	if !m.home() && len(entries.Items()) == 0 {
		return
	}
	m.cross(now, push)
}

// cross sends a push to the first-ranked nodes of the other regions. Those bytes are billed, so entries
// cross without the census, which the next heartbeat brings, and the origin is left to be the sender.
func (m *Machine) cross(now time.Time, push message.Push) {
	census := push.Census()
	if len(push.Entries().Items()) > 0 {
		census = nil
	}
	far := message.NewPush(member.Key{}, push.Seq(), wholeSpan, push.Entries(), census)
	for _, region := range m.plan.regions {
		if region != m.self.Place().Region() {
			m.deliver(now, delivery{push: far, region: region, candidates: m.plan.first(region, m.settings.MaxPushAttempts)})
		}
	}
}

// takePlace notes where the node stands in the tree of a push, unless it is older than the tree held.
func (m *Machine) takePlace(push message.Push, parent netip.AddrPort) {
	t := &m.tree
	if t.origin == push.Origin() && push.Seq() <= t.seq {
		return
	}
	if t.origin != push.Origin() {
		clear(t.reports)
	}
	t.origin, t.seq, t.parent = push.Origin(), push.Seq(), parent
	t.children = nil
}

// delegate divides the span of a push among the members in it.
func (m *Machine) delegate(now time.Time, push message.Push, parent netip.AddrPort) {
	region := m.self.Place().Region()
	for _, s := range split(push.Span(), m.plan.within(push.Span(), parent), m.settings.Fanout) {
		part := message.NewPush(push.Origin(), push.Seq(), s.span, push.Entries(), push.Census())
		m.deliver(now, delivery{push: part, region: region, candidates: s.candidates})
	}
	m.dropReports()
}

// dropReports forgets the counts of nodes that are no children any more.
func (m *Machine) dropReports() {
	for peer := range m.tree.reports {
		if !slices.Contains(m.tree.children, peer) {
			delete(m.tree.reports, peer)
		}
	}
}

// deliver sends a push to the next candidate and waits for the answer.
func (m *Machine) deliver(now time.Time, d delivery) {
	if d.tried >= len(d.candidates) || d.tried >= m.settings.MaxPushAttempts {
		m.counts.UnreachableSpans++
		return
	}
	to := d.candidates[d.tried]
	d.tried++
	d.due = now.Add(m.settings.ReportTimeout)
	m.tree.deliveries = append(m.tree.deliveries, d)
	if d.region == m.self.Place().Region() && d.push.Seq() == m.tree.seq {
		m.tree.children = append(m.tree.children, to)
	}
	m.send(to, d.push)
}

// retryPushes hands unanswered pushes to the next candidates. Heartbeats that a newer push of the same
// origin has overtaken are dropped.
func (m *Machine) retryPushes(now time.Time) {
	var late []delivery
	m.tree.deliveries = slices.DeleteFunc(m.tree.deliveries, func(d delivery) bool {
		if now.Before(d.due) {
			return false
		}
		late = append(late, d)
		return true
	})
	for _, d := range late {
		overtaken := m.resolve(d.push.Origin()) == m.tree.origin && d.push.Seq() < m.tree.seq
		if overtaken && len(d.push.Entries().Items()) == 0 {
			continue
		}
		m.deliver(now, d)
	}
}

// handle notes a push as passed on. It returns false when this was done before for all of its span.
func (m *Machine) handle(push message.Push) bool {
	t := &m.tree
	for _, h := range t.handled {
		if h.origin == push.Origin() && h.seq == push.Seq() && h.span.Covers(push.Span()) {
			return false
		}
	}
	t.handled = append(t.handled, handled{origin: push.Origin(), seq: push.Seq(), span: push.Span()})
	if len(t.handled) > handledLimit {
		t.handled = slices.Delete(t.handled, 0, 1)
	}
	return true
}

func (m *Machine) receivePush(now time.Time, from member.Key, push message.Push) {
	if push.Origin() == (member.Key{}) {
		push = message.NewPush(from, push.Seq(), push.Span(), push.Entries(), push.Census())
	}
	if !m.handle(push) {
		m.take(now, from.Peer(), push.Entries())
		m.send(from.Peer(), message.NewReport(push.Origin(), push.Seq(), m.holding.digest(), message.Census{}))
		return
	}
	m.hear(now, push)
	m.takePlace(push, from.Peer())
	m.take(now, from.Peer(), push.Entries())
	m.delegate(now, push, from.Peer())
	m.report(now, from.Peer(), push)
}

// hear takes what a push says about the log and the fleet.
func (m *Machine) hear(now time.Time, push message.Push) {
	if m.known.guarded(now) {
		return
	}
	if m.calms(push.Origin().Peer()) && !m.mayDoBetter(now, push.Entries().LogStatus()) {
		m.known.heardAt = now
		m.log.lone = m.settings.FallbackTimeout + m.jitter(m.settings.FallbackJitter)
	}
	m.known.learnPushed(now, push.Entries().LogStatus())
	m.known.gap, m.known.gapAt = push.Entries().LogStatus().GapEnd(), now
	m.tree.learnRegions(now, m.self.Place().Region(), push.Census())
}

// take folds entries that continue what this node holds, and notes who is ahead.
func (m *Machine) take(now time.Time, from netip.AddrPort, entries message.Entries) bool {
	before := m.holding.state.Head()
	chain, ok := m.holding.chainAt(entries.Base())
	continues := m.rules.ContinuesChain(ok, chain, entries.Chain())
	if ok && !continues {
		m.sayUnequal()
		return false
	}
	if continues {
		m.fold(now, entries.Items())
	}
	m.observe(now, from, entries.Digest())
	return m.holding.state.Head() > before
}

// fold applies entries until one of them cannot be applied.
func (m *Machine) fold(now time.Time, items []record.Entry) {
	for _, e := range items {
		if e.Offset() < m.holding.state.Head() {
			continue
		}
		result, err := m.holding.apply(e)
		if err != nil {
			return
		}
		if result.Kind() == catalog.ResultMismatch {
			m.counts.CheckpointMismatches++
		}
		m.writer.seen(now, result)
	}
}

// observe compares a peer's digest with what this node holds.
func (m *Machine) observe(now time.Time, peer netip.AddrPort, d message.Digest) {
	m.noteHead(peer, d.Head())
	if chain, ok := m.holding.chainAt(d.Head()); ok && chain != d.Chain() {
		m.sayUnequal()
		return
	}
	if d.Head() <= m.holding.state.Head() {
		return
	}
	m.puller.see(now, peer, d)
}
