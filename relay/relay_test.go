package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

var epoch = time.Unix(1_700_000_000, 0)

func testPeer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func testMember(i int) member.Member {
	region := member.Region("east")
	if i%2 == 1 {
		region = "west"
	}
	place := member.NewPlace(region, member.FailureDomain(fmt.Sprintf("%s-%d", region, i/2%3)))
	return member.New(member.NewKey(testPeer(i), 1), place, record.SchemaNewest)
}

func testView(self, n int) *member.View {
	var members []member.Member
	for i := range n {
		members = append(members, testMember(i))
	}
	return member.NewView(testMember(self).Key(), members)
}

func testEntries(t testing.TB, n int, salt string) []record.Entry {
	var entries []record.Entry
	for i := range n {
		id := uuid.NewSHA1(uuid.NameSpaceOID, fmt.Appendf(nil, "%s %d", salt, i))
		data, err := codec.EncodeChange(record.NewChangeSet(id, "operator", record.Version(i), []record.Record{
			record.NewService(record.Schema1, "a", i+1),
		}, nil))
		quicktest.Assert(t, err, quicktest.IsNil)
		entries = append(entries, record.NewEntry(record.Offset(i), data))
	}
	return entries
}

// newTestMachine returns a machine that has applied entries.
func newTestMachine(self int, entries []record.Entry, settings Settings) *Machine {
	m := New(testMember(self), "east", nil, settings, rand.New(rand.NewPCG(1, uint64(self))))
	m.applyEntries(epoch, entries)
	return m
}

func TestSplitSpanLeavesNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "members")
		self := testMember(0)
		p := newTopology(self, testView(0, 2*n+2), record.Schema1, make(hashCache))
		span := message.NewSpan(rapid.Uint64Range(0, 1<<62).Draw(t, "low"), rapid.Uint64Range(1<<62, ^uint64(0)).Draw(t, "high"))
		members := p.ringNodesIn(span, netip.AddrPort{})
		subspans := splitSpan(span, members, 8)
		if len(members) == 0 {
			return
		}
		next, reached := span.Low(), 0
		for _, s := range subspans {
			if s.span.Low() != next {
				t.Fatalf("a gap before %d", s.span.Low())
			}
			next = s.span.High() + 1
			reached += len(s.candidates)
			for _, peer := range s.candidates {
				if !s.span.Contains(ringPosition(peer)) {
					t.Fatalf("%s is not in its span", peer)
				}
			}
		}
		if subspans[len(subspans)-1].span.High() != span.High() || reached != len(members) || len(subspans) > 8 {
			t.Fatalf("%d of %d members reached by %d subspans", reached, len(members), len(subspans))
		}
	})
}

func TestEqualViewsGiveEqualRanks(t *testing.T) {
	a := newTopology(testMember(0), testView(0, 40), record.Schema1, make(hashCache))
	b := newTopology(testMember(17), testView(17, 40), record.Schema1, make(hashCache))
	quicktest.Assert(t, slices.Equal(a.topReaders("east", 40), b.topReaders("east", 40)), quicktest.IsTrue)
	quicktest.Assert(t, slices.Equal(a.topReaders("west", 40), b.topReaders("west", 40)), quicktest.IsTrue)
	quicktest.Assert(t, a.topReaders("east", 40), quicktest.HasLen, 20)
}

func TestMembersWithOldSchemaAreNotRanked(t *testing.T) {
	p := newTopology(testMember(0), testView(0, 8), record.SchemaNewest+1, make(hashCache))
	quicktest.Assert(t, p.topReaders("east", 8), quicktest.HasLen, 0)
}

// Entries and digests of a conflicting history must be rejected and counted, whichever message carries them.
func TestConflictingChainsAreCountedAndRejected(t *testing.T) {
	own, other := testEntries(t, 4, "own"), testEntries(t, 6, "other")
	forked := newTestMachine(2, other, Settings{})
	d := forked.Digest()
	chain, _ := forked.replica.chainAt(4)
	entries := message.NewEntries(4, chain, other[4:], d, message.NewLogStatus(6, 0, true))
	equal := newTestMachine(2, other[:4], Settings{})
	tests := []struct {
		name string
		body message.PeerMessage
	}{
		{"push", message.NewPush(testMember(2).Key(), 1, fullSpan, entries, nil)},
		{"heartbeat at equal head", message.NewPush(testMember(2).Key(), 1, fullSpan, message.NewEntries(4, chain, nil, equal.Digest(), message.LogStatus{}), nil)},
		{"probe", message.NewPing(1, message.NewSummary(equal.Digest(), 0, nil), nil)},
		{"pull", message.NewPull(1, equal.Digest())},
		{"report", message.NewReport(testMember(2).Key(), 1, equal.Digest(), message.Census{})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMachine(0, own, Settings{})
			before := m.Digest()
			m.Receive(epoch, testView(0, 8), message.NewEnvelope(testMember(2).Key(), test.body))
			quicktest.Check(t, m.Digest(), quicktest.Equals, before)
			quicktest.Check(t, m.Counts().Conflicts > 0, quicktest.IsTrue)
		})
	}
}

func TestConflictingChainsDetectsBrokenRule(t *testing.T) {
	own, other := testEntries(t, 4, "own"), testEntries(t, 6, "other")
	forked := newTestMachine(2, other, Settings{})
	m := newTestMachine(0, own, Settings{})
	rules := DefaultRules()
	rules.ContinuesChain = func(bool, uint64, uint64) bool { return true }
	m.SetRules(rules)
	push := message.NewPush(testMember(2).Key(), 1, fullSpan, message.NewEntries(4, 1, other[4:], forked.Digest(), message.LogStatus{}), nil)
	m.Receive(epoch, testView(0, 8), message.NewEnvelope(testMember(2).Key(), push))
	quicktest.Assert(t, m.Digest().Head(), quicktest.Equals, record.Offset(6))
}

func TestPullReturnsEntriesOrState(t *testing.T) {
	settings := Defaults()
	settings.MaxWindowEntries = 4
	entries := testEntries(t, 10, "own")
	server := newTestMachine(0, entries, settings)
	tests := []struct {
		have  int
		items int
		state bool
	}{{0, 0, true}, {5, 0, true}, {6, 4, false}, {9, 1, false}, {10, 0, false}}
	for _, test := range tests {
		pulled := newTestMachine(2, entries[:test.have], settings)
		reply := server.pullReply(epoch, message.NewPull(1, pulled.Digest()))
		quicktest.Check(t, len(reply.Entries().Items()), quicktest.Equals, test.items)
		quicktest.Check(t, reply.Checkpoint() != nil, quicktest.Equals, test.state)
		pulled.puller.pending, pulled.puller.nonce, pulled.puller.peer = true, 1, testPeer(0)
		pulled.Receive(epoch, testView(2, 8), message.NewEnvelope(testMember(0).Key(), reply))
		quicktest.Check(t, pulled.Digest(), quicktest.Equals, server.Digest())
	}
}

func TestStateTransfersAreThrottled(t *testing.T) {
	settings := Defaults()
	settings.MaxWindowEntries = 1
	server := newTestMachine(0, testEntries(t, 10, "own"), settings)
	sent, busy := 0, 0
	for i := range 100 {
		a := server.pullReply(epoch.Add(time.Duration(i)*10*time.Millisecond), message.NewPull(uint64(i), message.Digest{}))
		if a.Checkpoint() != nil {
			sent++
		}
		if a.Busy() {
			busy++
		}
	}
	quicktest.Check(t, sent, quicktest.Equals, int(settings.TransferBurst)+3)
	quicktest.Check(t, busy, quicktest.Equals, 100-sent)
}

// Guards against a storm of reads when all nodes of a region lose contact with the log readers at once while the log
// does not support long polling.
func TestLostHeartbeatsLimitLogReads(t *testing.T) {
	const n, ticks, limit = 100, 450, 70 // limit is in reads per second; 290 nodes stay near 200
	perSecond := make([]int, ticks/10)
	for i := range n {
		m := New(testMember(2*i), "east", nil, Settings{}, rand.New(rand.NewPCG(3, uint64(i))))
		m.join.joined = true
		view := testView(2*i, 2*n)
		for tick := range ticks {
			now := epoch.Add(time.Duration(tick) * 100 * time.Millisecond)
			for _, a := range m.Tick(now, view) {
				if r, ok := a.(message.ReadLog); ok {
					perSecond[tick/10]++
					m.ReceiveLogPage(now, view, message.NewLogPage(r.Stream(), 0, 0, nil, nil))
				}
			}
		}
	}
	quicktest.Check(t, slices.Max(perSecond) <= limit, quicktest.IsTrue, quicktest.Commentf("%v", perSecond))
	quicktest.Check(t, slices.Max(perSecond) >= n/3, quicktest.IsTrue, quicktest.Commentf("%v", perSecond))
}

func TestLogStatusAfterPauseIsIgnored(t *testing.T) {
	m := newTestMachine(0, nil, Settings{})
	view := testView(0, 8)
	m.Tick(epoch, view)
	late := epoch.Add(5 * time.Second)
	push := message.NewPush(testMember(2).Key(), 1, fullSpan, message.NewEntries(0, 0, nil, message.Digest{}, message.NewLogStatus(0, 0, true)), nil)
	m.Receive(late, view, message.NewEnvelope(testMember(2).Key(), push))
	quicktest.Check(t, m.LogSeenAt().IsZero(), quicktest.IsTrue)
	m.Tick(late.Add(100*time.Millisecond), view)
	push = message.NewPush(testMember(2).Key(), 2, fullSpan, push.Entries(), nil)
	m.Receive(late.Add(pauseDistrust), view, message.NewEnvelope(testMember(2).Key(), push))
	quicktest.Check(t, m.LogSeenAt(), quicktest.Equals, late.Add(pauseDistrust-maxPushTransit))
}

func TestTrimmedStreamLoadsCheckpoint(t *testing.T) {
	entries := testEntries(t, 10, "own")
	full := newTestMachine(2, entries, Settings{})
	chunks, err := full.replica.state.CheckpointEntries(1)
	quicktest.Assert(t, err, quicktest.IsNil)
	rest := []record.Entry{entries[8], entries[9], record.NewEntry(10, chunks[0])}
	m := newTestMachine(0, entries[:3], Settings{})
	view := testView(0, 8)
	m.Tick(epoch, view)
	m.ReceiveLogPage(epoch, view, message.NewLogPage(message.StreamConfig, 8, 11, nil, fmt.Errorf("trimmed")))
	quicktest.Check(t, m.LogErr(epoch), quicktest.Equals, errLogTrimmed)
	quicktest.Check(t, m.Digest().Head(), quicktest.Equals, record.Offset(3))
	quicktest.Check(t, m.readOffset(), quicktest.Equals, record.Offset(8))
	m.ReceiveLogPage(epoch, view, message.NewLogPage(message.StreamConfig, 8, 11, rest, nil))
	quicktest.Check(t, m.Digest().Head(), quicktest.Equals, record.Offset(11))
	quicktest.Check(t, m.Digest().Version(), quicktest.Equals, full.Digest().Version())
}

func TestTrimmedStreamWithoutCheckpointKeepsState(t *testing.T) {
	entries := testEntries(t, 10, "own")
	m := newTestMachine(0, entries[:3], Settings{})
	view := testView(0, 8)
	m.Tick(epoch, view)
	m.reader.active = true
	m.ReceiveLogPage(epoch, view, message.NewLogPage(message.StreamConfig, 8, 10, nil, fmt.Errorf("trimmed")))
	m.ReceiveLogPage(epoch, view, message.NewLogPage(message.StreamConfig, 8, 10, entries[8:], nil))
	quicktest.Check(t, m.Digest().Head(), quicktest.Equals, record.Offset(3))
	var noCheckpoint *catalog.NoCheckpointError
	quicktest.Check(t, errors.As(m.LogErr(epoch), &noCheckpoint), quicktest.IsTrue)
}

func TestMergeCountsKeepsTotal(t *testing.T) {
	var counts []message.VersionCount
	for v := range 10 {
		counts = append(counts, message.NewVersionCount(record.Version(v), v+1), message.NewVersionCount(record.Version(v), 1))
	}
	merged := mergeCounts(counts)
	total := 0
	for _, c := range merged {
		total += c.Nodes()
	}
	quicktest.Check(t, merged, quicktest.HasLen, maxCensusVersions)
	quicktest.Check(t, merged[0], quicktest.Equals, message.NewVersionCount(9, 11))
	quicktest.Check(t, total, quicktest.Equals, 65)
}
