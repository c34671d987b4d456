package feed

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// Latencies of a read of another stream, from which a node infers whether the store is in its region.
const (
	nearRead = 5 * time.Millisecond
	farRead  = 85 * time.Millisecond
)

// TestFleetStartLimitsCrossRegionReads starts fleets whose nodes do not know each other yet. Few of them may read the
// document across the link of 30 Mbit/s between the regions: reads of 100 kB by half of 288 nodes at once occupy it for
// four seconds, so that all of them time out, and their retries keep it congested.
func TestFleetStartLimitsCrossRegionReads(t *testing.T) {
	const linkRate = 3_750_000 // bytes a second
	for _, fleet := range []struct {
		nodes, document int
		restart         bool // the store holds the addresses of the nodes
	}{{12, 100_000, false}, {80, 400_000, false}, {288, 100_000, false}, {580, 100_000, false}, {12, 100_000, true}, {80, 100_000, true}, {288, 100_000, true}, {580, 100_000, true}} {
		rnd := rand.New(rand.NewPCG(7, uint64(fleet.nodes)))
		start := time.Unix(1000, 0)
		var machines []*Machine
		var announced []netip.AddrPort
		for i := range fleet.nodes {
			addr := netip.AddrFrom4([4]byte{10, byte(i % len(places)), byte(i >> 8), byte(i)})
			if fleet.restart {
				announced = append(announced, netip.AddrPortFrom(addr, 7000))
			}
			self := member.New(member.NewKey(netip.AddrPortFrom(addr, 7000), 1), places[i%len(places)], record.SchemaNewest)
			machines = append(machines, New(Settings{Self: self, Decode: decode}, rand.New(rand.NewPCG(rnd.Uint64(), 1))))
		}
		near, far := 0, 0
		for now := start; now.Before(start.Add(1500 * time.Millisecond)); now = now.Add(step) {
			for i, m := range machines {
				isNear := i%len(places)%2 == 0
				if now.Equal(start.Add(100 * time.Millisecond)) {
					m.ObserveStore(map[bool]time.Duration{true: nearRead, false: farRead}[isNear], announced)
				}
				for _, a := range m.Tick(now, nil) {
					if _, reads := a.(message.ReadDocument); reads && isNear {
						near++
					} else if reads {
						far++
					}
				}
			}
		}
		comment := qt.Commentf("%d nodes, restart %v: %d near and %d far reads", fleet.nodes, fleet.restart, near, far)
		qt.Check(t, near > 0, qt.IsTrue, comment)
		qt.Check(t, far*fleet.document <= linkRate/2, qt.IsTrue, comment)
	}
}

// TestTakeoverDelayIsBounded checks that after the loss of the readers other nodes read early enough to apply a change
// in time, and that only few of them read at first.
func TestTakeoverDelayIsBounded(t *testing.T) {
	const readAndDistribute = 600 * time.Millisecond
	previous := time.Duration(-1)
	for rank := range 40 { // a region of 80 nodes
		delay := takeoverDelay(rank)
		qt.Check(t, delay >= previous, qt.IsTrue)
		qt.Check(t, DefaultSilenceTimeout+delay+readAndDistribute <= 3*time.Second, qt.IsTrue, qt.Commentf("rank %d: %v", rank, delay))
		previous = delay
	}
	qt.Check(t, DefaultSilenceTimeout+takeoverDelay(5)+readAndDistribute <= applyDeadline, qt.IsTrue) // a region of 12 nodes
	early := 0
	for rank := range 290 { // a region of 580 nodes
		if takeoverDelay(rank) <= time.Second {
			early++
		}
	}
	qt.Check(t, early <= 40, qt.IsTrue, qt.Commentf("%d nodes", early))
}

// TestFailedReadRateIsBounded checks that a region whose reads all fail uses only a part of the capacity of the store
// and the link.
func TestFailedReadRateIsBounded(t *testing.T) {
	for _, nodes := range []int{6, 40, 144, 290} {
		perSecond := 0.0
		for rank := range nodes {
			perSecond += 1 / retryDelay(maxRetryDoublings, rank).Seconds()
		}
		qt.Check(t, perSecond <= 25, qt.IsTrue, qt.Commentf("%d nodes: %.1f reads a second", nodes, perSecond))
	}
	qt.Check(t, retryDelay(maxRetryDoublings, 0), qt.Equals, maxRetryDelay)
}

// TestFirstStartSpreadsReads starts a fleet of 300 nodes for the first time, before the operator has published anything
// and before the nodes know each other. Half a second later, when they do, few of them may have read the store.
func TestFirstStartSpreadsReads(t *testing.T) {
	const nodes, maxReads = 300, 30
	start := time.Unix(1000, 0)
	reads := 0
	for i := range nodes {
		addr := netip.AddrFrom4([4]byte{10, byte(i % len(places)), byte(i >> 8), byte(i)})
		self := member.New(member.NewKey(netip.AddrPortFrom(addr, 7000), 1), places[i%len(places)], record.SchemaNewest)
		m := New(Settings{Self: self, Decode: decode, FirstStart: true}, rand.New(rand.NewPCG(uint64(i), 1)))
		m.Tick(start, nil)
		m.ObserveStore(nearRead, nil)
		for now := start; now.Before(start.Add(500 * time.Millisecond)); now = now.Add(step) {
			for _, a := range m.Tick(now, nil) {
				if _, ok := a.(message.ReadDocument); ok {
					reads++
				}
			}
		}
	}
	qt.Check(t, reads > 0 && reads <= maxReads, qt.IsTrue, qt.Commentf("%d reads", reads))
}

// TestStartingNodeAsksTheOnlyOtherNode guards a fleet of two, whose nodes know each other only by an address in the store.
func TestStartingNodeAsksTheOnlyOtherNode(t *testing.T) {
	start := time.Unix(1000, 0)
	self := member.New(member.NewKey(netip.MustParseAddrPort("10.0.0.1:7000"), 1), places[0], record.SchemaNewest)
	other := netip.MustParseAddrPort("10.0.0.2:7000")
	m := New(Settings{Self: self, Decode: decode}, rand.New(rand.NewPCG(1, 1)))
	m.Tick(start, nil)
	m.ObserveStore(farRead, []netip.AddrPort{other})
	asked := false
	for _, a := range m.Tick(start.Add(firstRequestRetryInterval), nil) {
		if s, ok := a.(message.Send); ok {
			asked = asked || s.Recipient() == other
		}
	}
	qt.Check(t, asked, qt.IsTrue)
}

// TestAnswersFitTheLink guards the link of a holder: documents in answer to requests take a tenth of a second of it at once, and
// half of it after that. One that exceeds that burst is still sent.
func TestAnswersFitTheLink(t *testing.T) {
	const link, document = 1.25e6, 25_000
	sent := func(l *answerLimit, size int) (count int) {
		for l.take(size) {
			count++
		}
		return count
	}
	slow := newAnswerLimit(link)
	qt.Check(t, sent(&slow, document), qt.Equals, 5)
	slow.refill(time.Second)
	qt.Check(t, sent(&slow, document), qt.Equals, 5)
	slow.refill(40 * time.Millisecond)
	qt.Check(t, sent(&slow, document), qt.Equals, 1)
	slow.refill(time.Second)
	qt.Check(t, sent(&slow, 1_000_000), qt.Equals, 1)
	unlimited := newAnswerLimit(0)
	qt.Check(t, sent(&unlimited, 1_000_000), qt.Equals, documentBurst)
}
