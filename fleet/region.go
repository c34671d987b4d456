package fleet

import (
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
)

const (
	// contactSlack is added to ages of contacts heard from others, for the time on the way.
	contactSlack = 100 * time.Millisecond
	// wakeGrace is how long after a pause messages may have been queued up during it.
	wakeGrace = time.Second
	// maxContacts bounds the regions remembered.
	maxContacts = 4
	// crossCopies is how often a gateway sends one claim to another region.
	crossCopies = 2
	// otherRegion stands for any region but the node's own.
	otherRegion member.Region = "\x00other"
)

// contact is when anybody of this region was last known to hear from another region.
type contact struct {
	region member.Region
	at     time.Time
}

// crossState is what a node does as a gateway, and what it knows of other regions.
type crossState struct {
	awake    time.Time // start of the machine, or the end of its last pause
	next     time.Time
	contacts []contact
	queue    []*entry
	silent   int // probes of other regions since the last answer
}

// heardFrom notes a contact, if it is newer than the one known.
func (c *crossState) heardFrom(region member.Region, at time.Time) {
	for i := range c.contacts {
		if c.contacts[i].region == region {
			if at.After(c.contacts[i].at) {
				c.contacts[i].at = at
			}
			return
		}
	}
	if len(c.contacts) < maxContacts {
		c.contacts = append(c.contacts, contact{region: region, at: at})
	}
}

// regionOf returns the node's own region if the sender is of it or unknown, and otherRegion if not.
func (m *Machine) regionOf(from member.Key) member.Region {
	if e := m.table.byPeer[from.Peer()]; e != nil && e.region() != m.region() {
		return otherRegion
	}
	return m.region()
}

// mergeContacts takes contacts from a message. Just after a pause, messages are as old as the pause was
// long, so nothing is taken from them.
func (m *Machine) mergeContacts(from member.Key, contacts []message.Contact) {
	e := m.table.byPeer[from.Peer()]
	if e == nil || m.now.Sub(m.cross.awake) < wakeGrace {
		return
	}
	if e.region() != m.region() {
		m.cross.heardFrom(e.region(), m.now)
		m.cross.silent = 0
		return
	}
	for _, c := range contacts {
		if c.Region() != m.region() {
			m.cross.heardFrom(c.Region(), m.now.Add(-c.Age()-contactSlack))
		}
	}
}

func (m *Machine) contacts() []message.Contact {
	contacts := make([]message.Contact, 0, len(m.cross.contacts))
	for _, c := range m.cross.contacts {
		contacts = append(contacts, message.NewContact(c.region, m.now.Sub(c.at)))
	}
	return contacts
}

// silence returns for how long nothing was heard from a region, zero for the node's own. Time in which
// the node itself was paused, and all before it, does not count.
func (m *Machine) silence(region member.Region) time.Duration {
	if region == m.region() {
		return 0
	}
	last := m.cross.awake
	for _, c := range m.cross.contacts {
		if c.region == region && c.at.After(last) {
			last = c.at
		}
	}
	return m.now.Sub(last)
}

// gateways returns the members that talk to other regions, best first: by hash, and from different
// failure domains as long as there are any. Nodes with different views may disagree.
func (m *Machine) gateways(region member.Region) []*entry {
	return m.rosterOf(region).gateways
}

// gatewayRank returns the node's place among the gateways of its region, or -1. A node that has just
// joined does not know its region well enough to take itself for one.
func (m *Machine) gatewayRank() int {
	if !m.sync.joined || m.now.Sub(m.sync.joinedAt) < m.settings.SyncSettleTime {
		return -1
	}
	return slices.Index(m.gateways(m.region()), m.self)
}

// crossEnqueue lets the claim of e go to other regions.
func (m *Machine) crossEnqueue(e *entry) {
	if e.crossSends == 0 {
		m.cross.queue = append(m.cross.queue, e)
	}
	e.crossSends = crossCopies
}

// crossSpread sends updates of this region to the other regions, if the node is a gateway.
func (m *Machine) crossSpread() {
	if len(m.cross.queue) == 0 {
		return
	}
	if m.gatewayRank() < 0 {
		m.crossDrop()
		return
	}
	p := packer{room: claimsRoom}
	for _, e := range m.cross.queue {
		if !p.add(e.claim) {
			break
		}
		e.crossSends--
	}
	for _, region := range m.otherRegions() {
		if to := m.crossTarget(region); to != nil {
			m.send(to.peer(), message.NewClaims(p.claims))
		}
	}
	m.cross.queue = slices.DeleteFunc(m.cross.queue, func(e *entry) bool { return e.crossSends == 0 })
}

func (m *Machine) crossDrop() {
	for _, e := range m.cross.queue {
		e.crossSends = 0
	}
	m.cross.queue = nil
}

// crossTick probes the other regions, and gone members of this one, if the node is a gateway.
func (m *Machine) crossTick() {
	if m.now.Before(m.cross.next) {
		return
	}
	m.cross.next = m.now.Add(m.settings.GatewayProbePeriod)
	if m.gatewayRank() < 0 {
		return
	}
	for _, region := range m.otherRegions() {
		if to := m.crossTarget(region); to != nil {
			m.ping(to)
			m.cross.silent++
		}
	}
	m.probeGone()
}

// crossTarget returns the gateway of a region that has this node's rank, or any member while the
// gateways do not answer.
func (m *Machine) crossTarget(region member.Region) *entry {
	r := m.rosterOf(region)
	if len(r.members) == 0 {
		return nil
	}
	if m.cross.silent > 1 {
		return r.members[m.rnd.IntN(len(r.members))]
	}
	return r.gateways[max(m.gatewayRank(), 0)%len(r.gateways)]
}

// probesOfGone bounds the gone members that a gateway probes at once.
const probesOfGone = 3

// probeGone probes some members of the region that are held for dead or have left, so that two halves of a region that
// declared each other dead meet again, and a node that was stopped and started again is found without the log.
func (m *Machine) probeGone() {
	var gone []*entry
	for _, e := range m.table.entries {
		if !e.live() && e.region() == m.region() {
			gone = append(gone, e)
		}
	}
	for _, e := range m.pick(probesOfGone, gone) {
		m.ping(e)
	}
}
