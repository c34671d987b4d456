package fleet

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

const (
	// contactTransitTime is added to the ages of contacts reported by others, for the time that the message took.
	contactTransitTime = 100 * time.Millisecond
	// resumeGracePeriod is how long after a pause received messages may date from before its end.
	resumeGracePeriod = time.Second
	// maxRegionContacts bounds the number of regions with a recorded contact.
	maxRegionContacts = 4
	// crossRegionCopies is the number of times that a gateway sends one claim to another region.
	crossRegionCopies = 2
	// otherRegion denotes any region but the node's own.
	otherRegion member.Region = "\x00other"
)

// regionContact is when any member of this region last received a ping or an ack from another region.
type regionContact struct {
	region      member.Region
	lastHeardAt time.Time
}

// crossRegionState is the node's state as a gateway and its knowledge of other regions.
type crossRegionState struct {
	awakeSince       time.Time // start of the machine, or end of its last pause
	nextProbeAt      time.Time
	contacts         []regionContact
	queue            []*entry
	unansweredProbes int // probes of other regions since the last ping or ack from one
}

// recordContact records a contact with a region if it is newer than the recorded one.
func (c *crossRegionState) recordContact(region member.Region, at time.Time) {
	for i := range c.contacts {
		if c.contacts[i].region == region {
			if at.After(c.contacts[i].lastHeardAt) {
				c.contacts[i].lastHeardAt = at
			}
			return
		}
	}
	if len(c.contacts) < maxRegionContacts {
		c.contacts = append(c.contacts, regionContact{region: region, lastHeardAt: at})
	}
}

// regionOf returns otherRegion if the sender is known to be in another region, and the node's own region
// otherwise.
func (m *Machine) regionOf(from member.Key) member.Region {
	if e := m.table.byPeer[from.Peer()]; e != nil && e.region() != m.region() {
		return otherRegion
	}
	return m.region()
}

// mergeContacts records the contacts of a message. Just after a pause, messages may be as old as the pause was
// long, so their contacts are ignored.
func (m *Machine) mergeContacts(from member.Key, contacts []message.Contact) {
	e := m.table.byPeer[from.Peer()]
	if e == nil || m.now.Sub(m.crossRegion.awakeSince) < resumeGracePeriod {
		return
	}
	if e.region() != m.region() {
		m.crossRegion.recordContact(e.region(), m.now)
		m.crossRegion.unansweredProbes = 0
		return
	}
	for _, c := range contacts {
		if c.Region() != m.region() {
			m.crossRegion.recordContact(c.Region(), m.now.Add(-c.Age()-contactTransitTime))
		}
	}
}

func (m *Machine) regionContacts() []message.Contact {
	contacts := make([]message.Contact, 0, len(m.crossRegion.contacts))
	for _, c := range m.crossRegion.contacts {
		contacts = append(contacts, message.NewContact(c.region, m.now.Sub(c.lastHeardAt)))
	}
	return contacts
}

// silence returns for how long no contact with a region is known, zero for the node's own region. It counts from
// the end of the node's last pause at the earliest.
func (m *Machine) silence(region member.Region) time.Duration {
	if region == m.region() {
		return 0
	}
	last := m.crossRegion.awakeSince
	for _, c := range m.crossRegion.contacts {
		if c.region == region && c.lastHeardAt.After(last) {
			last = c.lastHeardAt
		}
	}
	return m.now.Sub(last)
}

// gateways returns the members of a region that exchange messages with other regions, best first: ordered by hash,
// from different failure domains if possible. Nodes with different views may choose different gateways.
func (m *Machine) gateways(region member.Region) []*entry {
	return m.rosterOf(region).gateways
}

// gatewayRank returns the node's index among the gateways of its region, or -1. A node that has just joined does
// not know its region well enough to act as a gateway.
func (m *Machine) gatewayRank() int {
	if !m.sync.joined || m.now.Sub(m.sync.joinedAt) < m.settings.SyncSettleTime {
		return -1
	}
	return slices.Index(m.gateways(m.region()), m.self)
}

// enqueueCrossRegion schedules the claim of e to be sent to other regions.
func (m *Machine) enqueueCrossRegion(e *entry) {
	if e.crossSendsLeft == 0 {
		m.crossRegion.queue = append(m.crossRegion.queue, e)
	}
	e.crossSendsLeft = crossRegionCopies
}

// sendCrossRegion sends queued claims about this region to the other regions if the node is a gateway.
func (m *Machine) sendCrossRegion() {
	if len(m.crossRegion.queue) == 0 {
		return
	}
	if m.gatewayRank() < 0 {
		m.clearCrossRegionQueue()
		return
	}
	p := packer{remaining: claimsMessageBytes}
	for _, e := range m.crossRegion.queue {
		if !p.add(e.claim) {
			break
		}
		e.crossSendsLeft--
	}
	for _, region := range m.otherRegions() {
		if to := m.gatewayTarget(region); to != nil {
			m.send(to.peer(), message.NewClaims(p.claims))
		}
	}
	m.crossRegion.queue = slices.DeleteFunc(m.crossRegion.queue, func(e *entry) bool { return e.crossSendsLeft == 0 })
}

func (m *Machine) clearCrossRegionQueue() {
	for _, e := range m.crossRegion.queue {
		e.crossSendsLeft = 0
	}
	m.crossRegion.queue = nil
}

// gatewayTick probes the other regions, and members of this region that are dead or have left, if the node is a
// gateway.
func (m *Machine) gatewayTick() {
	if m.now.Before(m.crossRegion.nextProbeAt) {
		return
	}
	m.crossRegion.nextProbeAt = m.now.Add(m.settings.GatewayProbePeriod)
	if m.gatewayRank() < 0 {
		return
	}
	for _, region := range m.otherRegions() {
		if to := m.gatewayTarget(region); to != nil {
			m.sendPing(to)
			m.crossRegion.unansweredProbes++
		}
	}
	m.probeGoneMembers()
}

// gatewayTarget returns the gateway of a region with the same index as this node, or a random member while probes
// of other regions stay unanswered.
func (m *Machine) gatewayTarget(region member.Region) *entry {
	r := m.rosterOf(region)
	if len(r.members) == 0 {
		return nil
	}
	if m.crossRegion.unansweredProbes > 1 {
		return r.members[m.rnd.IntN(len(r.members))]
	}
	return r.gateways[max(m.gatewayRank(), 0)%len(r.gateways)]
}

// maxGoneProbes bounds the members, dead or left, that a gateway probes at once.
const maxGoneProbes = 3

// probeGoneMembers probes some members of the region that are dead or have left. It reunites two halves of a
// region that declared each other dead, and finds a restarted node without the log.
func (m *Machine) probeGoneMembers() {
	var gone []*entry
	for _, e := range m.table.entries {
		if !e.live() && e.region() == m.region() {
			gone = append(gone, e)
		}
	}
	for _, e := range m.pickRandom(maxGoneProbes, gone) {
		m.sendPing(e)
	}
}
