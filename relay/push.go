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

// maxHandledPushes bounds the pushes remembered as passed on.
const maxHandledPushes = 32

// tree is the node's place in the tree of the latest push.
type tree struct {
	origin         member.Key
	seq            uint64
	parent         netip.AddrPort // zero at the root
	children       []netip.AddrPort
	reports        map[netip.AddrPort]message.Census
	regionCensuses []message.Census // per region, as the root says
	changedAt      time.Time        // when the counts changed since the last report, or zero
	handled        []handledPush
	deliveries     []delivery
	lastOwnSeq     uint64    // pushes originated
	lastPushAt     time.Time // time of the last push originated
}

func newTree() tree { return tree{reports: make(map[netip.AddrPort]message.Census)} }

// handledPush is a push that this node has passed on.
type handledPush struct {
	origin member.Key
	seq    uint64
	span   message.Span
}

// delivery is a push that has not been answered.
type delivery struct {
	push       message.Push
	region     member.Region
	candidates []netip.AddrPort
	attempts   int
	deadline   time.Time
}

// originate pushes entries, or a heartbeat without any, to the node's own region and to the others.
func (m *Machine) originate(now time.Time, entries message.Entries) {
	m.tree.lastOwnSeq++
	m.tree.lastPushAt = now
	m.counts.Pushes++
	m.updateOwnRegionCensus(now)
	push := message.NewPush(m.self.Key(), m.tree.lastOwnSeq, fullSpan, entries, m.tree.regionCensuses)
	m.markHandled(push)
	m.updateTree(push, netip.AddrPort{})
	m.forward(now, push, m.self.Key().Peer())
	if !m.inLogRegion() && len(entries.Items()) == 0 {
		return
	}
	m.pushToOtherRegions(now, push)
}

// pushToOtherRegions sends a push to the first-ranked nodes of the other regions. Those bytes are billed, so entries
// pushToOtherRegions without the census, which the next heartbeat brings, and the origin is left to be the sender.
func (m *Machine) pushToOtherRegions(now time.Time, push message.Push) {
	census := push.Census()
	if len(push.Entries().Items()) > 0 {
		census = nil
	}
	far := message.NewPush(member.Key{}, push.Seq(), fullSpan, push.Entries(), census)
	for _, region := range m.topology.regions {
		if region != m.self.Place().Region() {
			m.deliver(now, delivery{push: far, region: region, candidates: m.topology.topReaders(region, m.settings.MaxPushAttempts)})
		}
	}
}

// updateTree notes where the node stands in the tree of a push, unless it is older than the tree held.
func (m *Machine) updateTree(push message.Push, parent netip.AddrPort) {
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

// forward divides the span of a push among the members in it.
func (m *Machine) forward(now time.Time, push message.Push, parent netip.AddrPort) {
	region := m.self.Place().Region()
	for _, s := range splitSpan(push.Span(), m.topology.ringNodesIn(push.Span(), parent), m.settings.Fanout) {
		part := message.NewPush(push.Origin(), push.Seq(), s.span, push.Entries(), push.Census())
		m.deliver(now, delivery{push: part, region: region, candidates: s.candidates})
	}
	m.dropStaleReports()
}

// dropStaleReports forgets the counts of nodes that are no children any more.
func (m *Machine) dropStaleReports() {
	for peer := range m.tree.reports {
		if !slices.Contains(m.tree.children, peer) {
			delete(m.tree.reports, peer)
		}
	}
}

// deliver sends a push to the next candidate and waits for the answer.
func (m *Machine) deliver(now time.Time, d delivery) {
	if d.attempts >= len(d.candidates) || d.attempts >= m.settings.MaxPushAttempts {
		m.counts.UnreachableSpans++
		return
	}
	to := d.candidates[d.attempts]
	d.attempts++
	d.deadline = now.Add(m.settings.ReportTimeout)
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
		if now.Before(d.deadline) {
			return false
		}
		late = append(late, d)
		return true
	})
	for _, d := range late {
		overtaken := m.resolveOrigin(d.push.Origin()) == m.tree.origin && d.push.Seq() < m.tree.seq
		if overtaken && len(d.push.Entries().Items()) == 0 {
			continue
		}
		m.deliver(now, d)
	}
}

// markHandled notes a push as passed on. It returns false when this was done before for all of its span.
func (m *Machine) markHandled(push message.Push) bool {
	t := &m.tree
	for _, h := range t.handled {
		if h.origin == push.Origin() && h.seq == push.Seq() && h.span.Covers(push.Span()) {
			return false
		}
	}
	t.handled = append(t.handled, handledPush{origin: push.Origin(), seq: push.Seq(), span: push.Span()})
	if len(t.handled) > maxHandledPushes {
		t.handled = slices.Delete(t.handled, 0, 1)
	}
	return true
}

func (m *Machine) receivePush(now time.Time, from member.Key, push message.Push) {
	if push.Origin() == (member.Key{}) {
		push = message.NewPush(from, push.Seq(), push.Span(), push.Entries(), push.Census())
	}
	if !m.markHandled(push) {
		m.receiveEntries(now, from.Peer(), push.Entries())
		m.send(from.Peer(), message.NewReport(push.Origin(), push.Seq(), m.replica.digest(), message.Census{}))
		return
	}
	m.observePush(now, push)
	m.updateTree(push, from.Peer())
	m.receiveEntries(now, from.Peer(), push.Entries())
	m.forward(now, push, from.Peer())
	m.sendReport(now, from.Peer(), push)
}

// observePush takes what a push says about the log and the fleet.
func (m *Machine) observePush(now time.Time, push message.Push) {
	if m.logHealth.distrusts(now) {
		return
	}
	if m.suppressesReading(push.Origin().Peer()) && !m.shouldTryLog(now, push.Entries().LogStatus()) {
		m.logHealth.lastHeartbeatAt = now
		m.reader.fallbackTimeout = m.settings.FallbackTimeout + m.jitter(m.settings.FallbackJitter)
	}
	m.logHealth.updateFromPush(now, push.Entries().LogStatus())
	m.logHealth.reportedGapEnd, m.logHealth.gapReportedAt = push.Entries().LogStatus().GapEnd(), now
	m.tree.setRegionCensuses(now, m.self.Place().Region(), push.Census())
}

// receiveEntries folds entries that continue what this node holds, and notes who is ahead.
func (m *Machine) receiveEntries(now time.Time, from netip.AddrPort, entries message.Entries) bool {
	before := m.replica.state.Head()
	chain, ok := m.replica.chainAt(entries.Base())
	continues := m.rules.ContinuesChain(ok, chain, entries.Chain())
	if ok && !continues {
		m.countConflict()
		return false
	}
	if continues {
		m.applyEntries(now, entries.Items())
	}
	m.observeDigest(now, from, entries.Digest())
	return m.replica.state.Head() > before
}

// applyEntries applies entries until one of them cannot be applied.
func (m *Machine) applyEntries(now time.Time, items []record.Entry) {
	for _, e := range items {
		if e.Offset() < m.replica.state.Head() {
			continue
		}
		result, err := m.replica.apply(e)
		if err != nil {
			return
		}
		if result.Kind() == catalog.ResultMismatch {
			m.counts.CheckpointMismatches++
		}
		m.writer.observe(now, result)
	}
}

// observeDigest compares a peer's digest with what this node holds.
func (m *Machine) observeDigest(now time.Time, peer netip.AddrPort, d message.Digest) {
	m.trackPeerHead(peer, d.Head())
	if chain, ok := m.replica.chainAt(d.Head()); ok && chain != d.Chain() {
		m.countConflict()
		return
	}
	if d.Head() <= m.replica.state.Head() {
		return
	}
	m.puller.setAhead(now, peer, d)
}
