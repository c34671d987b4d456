package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Limits of a census and of its reports.
const (
	maxCensusVersions = 6                      // version counts; the last one includes all older versions
	maxCensusLaggards = 4                      // nodes listed as furthest behind
	reportDelay       = 200 * time.Millisecond // time for which changes are collected into one report
)

// subtreeCensus returns the versions of this node and of the subtrees of those children that have reported.
func (m *Machine) subtreeCensus(now time.Time) message.Census {
	own := m.replica.digest()
	counts := []message.VersionCount{message.NewVersionCount(own.Version(), 1)}
	laggards := []message.Laggard{message.NewLaggard(m.self.Key(), own.Version())}
	for _, peer := range m.tree.children {
		if c, ok := m.tree.reports[peer]; ok {
			counts = append(counts, c.Counts()...)
			laggards = append(laggards, c.Laggards()...)
		}
	}
	counts = mergeCounts(counts)
	return message.NewCensus(m.self.Place().Region(), counts, furthestBehind(laggards, counts[0].Version()), now)
}

// mergeCounts adds up the counts of equal versions and sorts them, newest first. Beyond maxCensusVersions, older
// versions are counted as the oldest one listed.
func mergeCounts(counts []message.VersionCount) []message.VersionCount {
	slices.SortStableFunc(counts, func(a, b message.VersionCount) int { return cmp.Compare(b.Version(), a.Version()) })
	var merged []message.VersionCount
	for _, c := range counts {
		last := len(merged) - 1
		if last >= 0 && (merged[last].Version() == c.Version() || len(merged) == maxCensusVersions) {
			merged[last] = message.NewVersionCount(merged[last].Version(), merged[last].Nodes()+c.Nodes())
			continue
		}
		merged = append(merged, c)
	}
	return merged
}

// furthestBehind returns the nodes with the oldest versions below newest.
func furthestBehind(laggards []message.Laggard, newest record.Version) []message.Laggard {
	behind := slices.DeleteFunc(laggards, func(l message.Laggard) bool { return l.Version() >= newest })
	slices.SortFunc(behind, func(a, b message.Laggard) int {
		if a.Version() != b.Version() {
			return cmp.Compare(a.Version(), b.Version())
		}
		return a.Node().Peer().Compare(b.Node().Peer())
	})
	return behind[:min(len(behind), maxCensusLaggards)]
}

// sendReport acknowledges a push. Only the parent gets the census, so that no node is counted twice. Across regions,
// a report on entries omits digest and census, which the report on the next heartbeat carries. The origin is zero if
// it is the receiver.
func (m *Machine) sendReport(now time.Time, to netip.AddrPort, push message.Push) {
	digest, census, origin := m.replica.digest(), m.subtreeCensus(now), push.Origin()
	if origin.Peer() == to {
		origin = member.Key{}
	}
	if to != m.tree.parent {
		census = message.Census{}
	}
	if m.inOtherRegion(to) && len(push.Entries().Items()) > 0 {
		census, digest = message.Census{}, message.Digest{}
	}
	m.send(to, message.NewReport(origin, push.Seq(), digest, census))
}

func (m *Machine) inOtherRegion(peer netip.AddrPort) bool {
	known, ok := m.topology.view.Member(peer)
	return ok && known.Place().Region() != m.self.Place().Region()
}

func (m *Machine) receiveReport(now time.Time, from member.Key, r message.Report) {
	t := &m.tree
	t.deliveries = slices.DeleteFunc(t.deliveries, func(d delivery) bool { return m.acknowledges(from, r, d) })
	m.observeDigest(now, from.Peer(), r.Digest())
	census := r.Census()
	if len(census.Counts()) == 0 {
		return
	}
	if census.Region() != m.self.Place().Region() {
		t.setRegionCensus(message.NewCensus(census.Region(), census.Counts(), census.Laggards(), now))
		return
	}
	if !slices.Contains(t.children, from.Peer()) || equalCensus(t.reports[from.Peer()], census) {
		return
	}
	t.reports[from.Peer()] = census
	m.markCensusChanged(now)
}

// acknowledges reports whether a report completes a delivery: it is about the same push, or about a later push of
// the same origin while the reporting node has the entries of this one.
func (m *Machine) acknowledges(from member.Key, r message.Report, d delivery) bool {
	if d.candidates[d.attempts-1] != from.Peer() || m.resolveOrigin(d.push.Origin()) != m.resolveOrigin(r.Origin()) {
		return false
	}
	if d.push.Seq() == r.Seq() {
		return true
	}
	return d.push.Seq() < r.Seq() && d.push.Entries().Digest().Head() <= r.Digest().Head()
}

// resolveOrigin replaces a zero origin, which denotes this node, by its key.
func (m *Machine) resolveOrigin(origin member.Key) member.Key {
	if origin == (member.Key{}) {
		return m.self.Key()
	}
	return origin
}

// markCensusChanged schedules a report because the version counts may have changed.
func (m *Machine) markCensusChanged(now time.Time) {
	if m.tree.changedAt.IsZero() {
		m.tree.changedAt = now
	}
}

// sendPendingReport reports changed version counts to the parent once reportDelay has passed since the first change.
func (m *Machine) sendPendingReport(now time.Time) {
	t := &m.tree
	if t.changedAt.IsZero() || now.Sub(t.changedAt) < reportDelay {
		return
	}
	t.changedAt = time.Time{}
	if !t.parent.IsValid() {
		m.updateOwnRegionCensus(now)
		return
	}
	if m.inOtherRegion(t.parent) {
		return
	}
	m.send(t.parent, message.NewReport(t.origin, t.seq, m.replica.digest(), m.subtreeCensus(now)))
}

// updateOwnRegionCensus sets the census of the node's own region. Only the root of the tree has complete counts.
func (m *Machine) updateOwnRegionCensus(now time.Time) {
	m.tree.setRegionCensus(m.subtreeCensus(now))
}

func (t *tree) setRegionCensus(c message.Census) {
	i, found := slices.BinarySearchFunc(t.regionCensuses, c.Region(), func(have message.Census, want member.Region) int {
		return cmp.Compare(have.Region(), want)
	})
	regions := slices.Clone(t.regionCensuses)
	if found {
		regions[i] = c
	} else {
		regions = slices.Insert(regions, i, c)
	}
	t.regionCensuses = regions
}

// setRegionCensuses takes over the censuses that the root of the tree sends with a push, with the time of arrival as
// their time.
func (t *tree) setRegionCensuses(now time.Time, _ member.Region, census []message.Census) {
	for _, c := range census {
		t.setRegionCensus(message.NewCensus(c.Region(), c.Counts(), c.Laggards(), now))
	}
}

func (t *tree) censuses() []message.Census { return slices.Clone(t.regionCensuses) }

func equalCensus(a, b message.Census) bool {
	return a.Region() == b.Region() && slices.Equal(a.Counts(), b.Counts()) && slices.Equal(a.Laggards(), b.Laggards())
}
