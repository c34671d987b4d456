package quota

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// MaxRows is the number of organisations in one message.
const MaxRows = 32

// Message is a message to another node: a report, or a grant.
type Message struct {
	to      netip.AddrPort
	number  uint32
	initial bool
	usages  []Usage
	shares  []Share
}

// To returns the recipient.
func (m Message) To() netip.AddrPort { return m.to }

// Number returns the number of the report, or of the report that a grant answers, 0 for a grant without a report.
func (m Message) Number() uint32 { return m.number }

// Initial reports whether the sender of a grant does not know the demand of all nodes yet.
func (m Message) Initial() bool { return m.initial }

// Usages returns what a report contains, nil for a grant.
func (m Message) Usages() []Usage { return m.usages }

// Shares returns what a grant contains, nil for a report.
func (m Message) Shares() []Share { return m.shares }

// Node is the part of a node in the exchange of reports and grants: its limiter, the accounts that it owns, and the owners
// of the others. It is not safe for concurrent use, except the limiter.
type Node struct {
	self         netip.AddrPort
	limiter      *Shared
	accounts     *Accounts
	rnd          *rand.Rand
	alive        []netip.AddrPort
	owners       []netip.AddrPort // by bucket
	reported     []netip.AddrPort // owners at the last reports
	changed      bool             // whether members have changed since owners were determined
	nextReportAt time.Time
}

// NewNode returns the part of the node at the peer address self.
func NewNode(self netip.AddrPort, limiter *Shared, settings Settings, rnd *rand.Rand) *Node {
	return &Node{self: self, limiter: limiter, accounts: NewAccounts(settings), rnd: rnd}
}

// Accounts returns the number of accounts that the node owns.
func (n *Node) Accounts() int { return n.accounts.Len() }

// TakeChanges returns the organisations that the node as their owner has started or stopped to limit since the last call.
func (n *Node) TakeChanges() []Change { return n.accounts.TakeChanges() }

// SetMembers sets the members of the fleet, including the node itself, see Accounts.SetMembers. It keeps alive.
func (n *Node) SetMembers(now time.Time, alive, suspect, left []netip.AddrPort) {
	n.accounts.SetMembers(now, alive, suspect, left)
	n.alive, n.changed = alive, true
	n.limiter.With(func(l *Limiter) { l.SetMembers(n.accounts.Size()) })
}

// Tick returns the messages that are due.
func (n *Node) Tick(now time.Time) []Message {
	var out []Message
	for _, p := range n.accounts.Tick(now, n.owns) {
		out = append(out, n.deliver(now, Message{to: p.Node(), shares: p.Shares()})...)
	}
	return append(out, n.report(now)...)
}

// owns reports whether the node is the owner of an organisation.
func (n *Node) owns(id ID) bool {
	n.updateOwners()
	return len(n.owners) > 0 && n.owners[id.Bucket(len(n.owners))] == n.self
}

// report sends the usage of organisations with requests to their owners: at regular intervals that of all organisations,
// and in between what cannot wait. The first report is at a random time within the interval, so that the reports to an owner
// are spread over time.
func (n *Node) report(now time.Time) []Message {
	interval := ReportInterval(n.accounts.Size())
	if n.nextReportAt.IsZero() {
		n.nextReportAt = now.Add(time.Duration(n.rnd.Int64N(int64(interval))))
	}
	all := !now.Before(n.nextReportAt)
	if all {
		n.nextReportAt = now.Add(interval)
	}
	var number uint32
	var usages []Usage
	n.limiter.With(func(l *Limiter) {
		if l.Pending() && len(n.alive) > 0 {
			number, usages = l.Reports(now, all, n.moved())
		}
	})
	byBucket := make(map[int][]Usage)
	for _, u := range usages {
		bucket := u.ID().Bucket(len(n.owners))
		byBucket[bucket] = append(byBucket[bucket], u)
	}
	var out []Message
	for _, bucket := range slices.Sorted(maps.Keys(byBucket)) {
		for part := range slices.Chunk(byBucket[bucket], MaxRows) {
			out = append(out, n.deliver(now, Message{to: n.owners[bucket], number: number, usages: part})...)
		}
	}
	return out
}

// updateOwners determines the owners if members have changed.
func (n *Node) updateOwners() {
	if n.changed {
		n.changed = false
		n.owners = Owners(n.alive, Buckets(n.accounts.Size()))
	}
}

// moved returns whether an organisation has another owner than at the last call, which needs a report to learn the demand.
func (n *Node) moved() func(ID) bool {
	n.updateOwners()
	before, owners := n.reported, n.owners
	n.reported = owners
	return func(id ID) bool {
		return len(before) > 0 && before[id.Bucket(len(before))] != owners[id.Bucket(len(owners))]
	}
}

// Receive handles a message of another node and returns the answers.
func (n *Node) Receive(now time.Time, from netip.AddrPort, m Message) []Message {
	if m.Usages() == nil {
		n.limiter.With(func(l *Limiter) { l.Apply(now, m.Number(), m.Initial(), m.Shares()) })
		return nil
	}
	initial, shares := n.accounts.Receive(now, from, m.Number(), m.Usages())
	if len(shares) == 0 {
		return nil
	}
	return n.deliver(now, Message{to: from, number: m.Number(), initial: initial, shares: shares})
}

// deliver returns a message, or handles it if it is for the node itself.
func (n *Node) deliver(now time.Time, m Message) []Message {
	if m.to == n.self {
		return n.Receive(now, n.self, m)
	}
	return []Message{m}
}

// NewReport returns a report as received.
func NewReport(number uint32, usages []Usage) Message {
	return Message{number: number, usages: usages}
}

// NewGrant returns a grant as received.
func NewGrant(number uint32, initial bool, shares []Share) Message {
	return Message{number: number, initial: initial, shares: shares}
}
