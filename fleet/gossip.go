package fleet

import (
	"math"
	"slices"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

// Space for claims in a datagram, in bytes. The rest is for the frame header and the other fields.
const (
	probeClaimBytes    = 800
	claimsMessageBytes = 1100
)

// retransmitFactor times the decimal logarithm of the number of known members is the number of times that a node sends one claim.
const retransmitFactor = 4

// enqueue schedules the claim of e for gossip in the region.
func (m *Machine) enqueue(e *entry) {
	e.sendCount = 0
	if !e.inQueue {
		e.inQueue = true
		m.gossipQueue = append(m.gossipQueue, e)
	}
}

func (m *Machine) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(len(m.table.entries)+1))))
}

// takeUpdates returns queued claims that fit into maxBytes, those sent least often first, and counts them as
// sent to the given number of receivers.
func (m *Machine) takeUpdates(maxBytes, receivers int) []member.Member {
	if len(m.gossipQueue) == 0 {
		return nil
	}
	slices.SortStableFunc(m.gossipQueue, func(a, b *entry) int { return a.sendCount - b.sendCount })
	p := packer{remaining: maxBytes}
	for _, e := range m.gossipQueue {
		if !p.add(e.claim) {
			break
		}
		e.sendCount += receivers
	}
	m.pruneQueue()
	return p.claims
}

// pruneQueue removes the claims that were sent often enough.
func (m *Machine) pruneQueue() {
	limit := m.retransmitLimit()
	m.gossipQueue = slices.DeleteFunc(m.gossipQueue, func(e *entry) bool {
		e.inQueue = e.sendCount < limit
		return !e.inQueue
	})
}

// sendGossip sends queued claims to random members of the region.
func (m *Machine) sendGossip() {
	if len(m.gossipQueue) == 0 {
		return
	}
	targets := m.pickRandom(m.settings.GossipFanout, m.regionMembers())
	if len(targets) == 0 {
		return
	}
	body := message.NewClaims(m.takeUpdates(claimsMessageBytes, len(targets)))
	for _, e := range targets {
		m.send(e.peer(), body)
	}
}

// announce sends a claim that originates at this node at once, first to the gateways of the region, then to random
// members.
func (m *Machine) announce(e *entry) {
	body := message.NewClaims([]member.Member{e.claim})
	for _, g := range m.gateways(m.region()) {
		if g != m.self {
			m.send(g.peer(), body)
		}
	}
	for _, t := range m.pickRandom(m.settings.GossipFanout, m.regionMembers()) {
		m.send(t.peer(), body)
		e.sendCount++
	}
}

// pickRandom returns up to n random entries other than the node's own.
func (m *Machine) pickRandom(n int, from []*entry) []*entry {
	var picked []*entry
	for range 3 * n {
		if len(picked) == n || len(from) == 0 {
			break
		}
		e := from[m.rnd.IntN(len(from))]
		if e != m.self && !slices.Contains(picked, e) {
			picked = append(picked, e)
		}
	}
	return picked
}

// packer collects claims up to an encoded size.
type packer struct {
	remaining int // bytes
	names     []string
	claims    []member.Member
}

// add appends a claim and reports whether it fitted.
func (p *packer) add(c member.Member) bool {
	size := claimSize(c)
	var newNames []string
	for _, name := range []string{string(c.Place().Region()), string(c.Place().FailureDomain()), c.Server().Service()} {
		if !slices.Contains(p.names, name) && !slices.Contains(newNames, name) {
			newNames = append(newNames, name)
			size += nameHeadBytes + len(name)
		}
	}
	if size > p.remaining {
		return false
	}
	p.remaining -= size
	p.names = append(p.names, newNames...)
	p.claims = append(p.claims, c)
	return true
}

// Encoded sizes, in bytes.
const (
	claimHeadBytes      = 1     // array head of a claim
	peerHeadBytes       = 1 + 2 // head of the byte string and port of an address
	nameIndexBytes      = 3 * 2 // indexes of the three names
	healthAndStateBytes = 2 * 1 // health of the member and state of its server
	nameHeadBytes       = 2     // head of a name
)

// claimSize returns the largest encoded size of a claim, without its names.
func claimSize(c member.Member) int {
	size := claimHeadBytes + peerHeadBytes + nameIndexBytes + healthAndStateBytes + c.Key().Peer().Addr().BitLen()/8
	size += cborUintSize(uint64(c.Key().Incarnation())) + cborUintSize(c.Revision())
	return size + cborUintSize(uint64(c.Server().Slots())) + cborUintSize(uint64(c.NewestSchema()))
}

// cborUintSize returns the encoded size of an unsigned integer in CBOR.
func cborUintSize(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n <= math.MaxUint8:
		return 2
	case n <= math.MaxUint16:
		return 3
	case n <= math.MaxUint32:
		return 5
	}
	return 9
}
