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

// maxHandledPushes is the number of forwarded pushes that are remembered for deduplication.
const maxHandledPushes = 32

// tree is the node's position in the fan-out tree of the latest push, and its unanswered deliveries.
type tree struct {
	origin         member.Key                        // log reader that originated the push
	seq            uint64                            // sequence number of the push at its origin
	parent         netip.AddrPort                    // zero at the root
	children       []netip.AddrPort                  // receivers in the node's region, including those that did not answer
	reports        map[netip.AddrPort]message.Census // last census of each child
	regionCensuses []message.Census                  // per region, as sent by the root
	changedAt      time.Time                         // first change of the counts since the last report, or zero
	handled        []handledPush                     // pushes forwarded last
	deliveries     []delivery
	lastOwnSeq     uint64    // sequence number of the last push originated
	lastPushAt     time.Time // when it was originated
}

func newTree() tree { return tree{reports: make(map[netip.AddrPort]message.Census)} }

// handledPush identifies a push that this node has forwarded.
type handledPush struct {
	origin member.Key
	seq    uint64
	span   message.Span
}

// delivery is a push for which no report has been received.
type delivery struct {
	push       message.Push
	region     member.Region
	candidates []netip.AddrPort // receivers to try, in order
	attempts   int              // candidates tried
	deadline   time.Time        // when the next candidate is tried
}

// originate pushes entries, or a heartbeat if there are none, to the node's own region and to the other regions.
// Heartbeats cross regions only from the region of the log.
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

// pushToOtherRegions sends a push to the best-ranked possible reader of each other region. Traffic between regions is
// billed, so pushes with entries omit the census, which the next heartbeat carries, and the origin is left zero, which
// denotes the sender.
func (m *Machine) pushToOtherRegions(now time.Time, push message.Push) {
	census := push.Census()
	if len(push.Entries().Items()) > 0 {
		census = nil
	}
	crossRegion := message.NewPush(member.Key{}, push.Seq(), fullSpan, push.Entries(), census)
	for _, region := range m.topology.regions {
		if region != m.self.Place().Region() {
			m.deliver(now, delivery{push: crossRegion, region: region, candidates: m.topology.topReaders(region, m.settings.MaxPushAttempts)})
		}
	}
}

// updateTree takes over the node's position in the tree of a push, unless a newer push of the same origin is known.
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

// forward divides the span of a push among the nodes in it and sends each of them its part.
func (m *Machine) forward(now time.Time, push message.Push, parent netip.AddrPort) {
	region := m.self.Place().Region()
	for _, s := range splitSpan(push.Span(), m.topology.ringNodesIn(push.Span(), parent), m.settings.Fanout) {
		part := message.NewPush(push.Origin(), push.Seq(), s.span, push.Entries(), push.Census())
		m.deliver(now, delivery{push: part, region: region, candidates: s.candidates})
	}
	m.dropStaleReports()
}

// dropStaleReports removes the reports of nodes that are no longer children.
func (m *Machine) dropStaleReports() {
	for peer := range m.tree.reports {
		if !slices.Contains(m.tree.children, peer) {
			delete(m.tree.reports, peer)
		}
	}
}

// deliver sends a push to the next candidate and records it as unanswered.
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

// retryPushes sends unanswered pushes to their next candidates. It drops heartbeats that were superseded by a newer
// push of the same origin.
func (m *Machine) retryPushes(now time.Time) {
	var expired []delivery
	m.tree.deliveries = slices.DeleteFunc(m.tree.deliveries, func(d delivery) bool {
		if now.Before(d.deadline) {
			return false
		}
		expired = append(expired, d)
		return true
	})
	for _, d := range expired {
		superseded := m.resolveOrigin(d.push.Origin()) == m.tree.origin && d.push.Seq() < m.tree.seq
		if superseded && len(d.push.Entries().Items()) == 0 {
			continue
		}
		m.deliver(now, d)
	}
}

// markHandled records that a push is forwarded. It returns false if the push was already handled for the whole span.
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

// observePush takes over the log status and the censuses of a push.
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

// receiveEntries applies entries that continue the node's state and notes whether the sender is ahead. It reports
// whether the node's head has advanced.
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

// applyEntries applies entries up to the first one that cannot be applied.
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

// observeDigest compares a peer's digest with the node's state and notes whether the peer is ahead.
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
