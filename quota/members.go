package quota

import (
	"net/netip"
	"slices"
	"time"
)

// peer is what an owner knows of a member of the fleet.
type peer struct {
	address  netip.AddrPort
	suspect  bool
	goneAt   time.Time        // zero while it is a member
	contacts map[int]*contact // by bucket of the organisations that it reports
}

func (p *peer) doubted() bool { return p.suspect || !p.goneAt.IsZero() }

// contact is what an owner knows of a member's reports about one bucket. Nodes may report some buckets to another owner.
type contact struct {
	reportedAt time.Time
	gap        float64 // mean seconds between reports
	deviation  float64 // mean deviation from gap
	silent     bool
	doubted    bool // whether the member was suspected since its last report
}

// memberTable holds the members of the fleet, including those gone for less than memberRetention, and nodes that have
// reported before they were known as members.
type memberTable struct {
	byAddress map[netip.AddrPort]*peer
	sorted    []*peer // by address; nil after a change
}

func newMemberTable() *memberTable {
	return &memberTable{byAddress: make(map[netip.AddrPort]*peer)}
}

func (t *memberTable) len() int { return len(t.byAddress) }

// get returns a member, or nil if there is none.
func (t *memberTable) get(address netip.AddrPort) *peer { return t.byAddress[address] }

// add returns a member, which it adds if there is none.
func (t *memberTable) add(address netip.AddrPort) *peer {
	p := t.byAddress[address]
	if p == nil {
		p = &peer{address: address, contacts: make(map[int]*contact)}
		t.byAddress[address], t.sorted = p, nil
	}
	return p
}

// remove removes a member, if there is one.
func (t *memberTable) remove(address netip.AddrPort) {
	delete(t.byAddress, address)
	t.sorted = nil
}

// ordered returns the members ordered by address. The caller must not change the slice.
func (t *memberTable) ordered() []*peer {
	if t.sorted == nil {
		for _, p := range t.byAddress {
			t.sorted = append(t.sorted, p)
		}
		slices.SortFunc(t.sorted, func(a, b *peer) int { return a.address.Compare(b.address) })
	}
	return t.sorted
}
