package quota

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

const (
	// memberRetention is the time for which the share of a member that is gone without having left is kept back.
	memberRetention = time.Minute
	// startTime is the age of an account up to which it keeps back the share of members that have not reported to its owner.
	startTime = 10 * time.Second
	// accountRetention is the time without reports after which an account is closed.
	accountRetention = 30 * time.Second
	// A node is out of touch after the mean time between its reports plus silentDeviations times the mean deviation, and
	// silenceMargin.
	silentDeviations = 4
	silenceMargin    = 200 * time.Millisecond
	// gapWeight is the weight of the last time between two reports in these means.
	gapWeight = 0.1
	// initialGap is the mean deviation that is assumed of a node with few reports.
	initialGap = 2
)

// Settings configure Accounts.
type Settings struct {
	Limit  func(ID) (Limit, bool) // returns the limit in the table in force
	Slack  int                    // requests that may be admitted over the quota within Window
	Window time.Duration
}

// Accounts holds the accounts of the organisations that a node owns. It is not safe for concurrent use.
type Accounts struct {
	settings Settings
	accounts map[ID]*account
	members  map[netip.AddrPort]*peer // including those gone for less than memberRetention
	order    []netip.AddrPort         // of members, sorted
}

// peer is what an owner knows of a member of the fleet.
type peer struct {
	suspect    bool
	goneAt     time.Time // zero while it is a member
	reportedAt time.Time // zero before the first report
	gap        float64   // mean seconds between reports
	deviation  float64   // mean deviation from gap
	silent     bool
}

// freeRate returns the rate that each organisation gets however few members are in touch. It uses half of the slack.
func (s Settings) freeRate() float64 {
	if s.Window <= 0 {
		return 0
	}
	return float64(s.Slack) / 2 / s.Window.Seconds()
}

// NewAccounts returns an owner's part without accounts.
func NewAccounts(s Settings) *Accounts {
	return &Accounts{settings: s, accounts: make(map[ID]*account), members: make(map[netip.AddrPort]*peer)}
}

// Len returns the number of accounts.
func (s *Accounts) Len() int { return len(s.accounts) }

// SetMembers sets the members of the fleet: those alive, those suspected to have failed and those that have left. Members
// in none of the lists are gone without having left.
func (s *Accounts) SetMembers(now time.Time, alive, suspect, left []netip.AddrPort) {
	for _, p := range s.members {
		if p.goneAt.IsZero() {
			p.goneAt = now
		}
	}
	for _, address := range alive {
		p := s.peer(address)
		p.goneAt, p.suspect = time.Time{}, false
	}
	for _, address := range suspect {
		p := s.peer(address)
		p.goneAt, p.suspect = time.Time{}, true
	}
	for _, address := range left {
		delete(s.members, address)
	}
	s.forgetMembers(now, true)
}

func (s *Accounts) peer(address netip.AddrPort) *peer {
	p := s.members[address]
	if p == nil {
		p = &peer{deviation: initialGap}
		s.members[address] = p
	}
	return p
}

// forgetMembers removes members that are gone for long. changed states that the members may have changed otherwise.
func (s *Accounts) forgetMembers(now time.Time, changed bool) {
	for address, p := range s.members {
		if !p.goneAt.IsZero() && now.Sub(p.goneAt) > memberRetention {
			delete(s.members, address)
		}
	}
	if len(s.order) != len(s.members) || changed {
		s.order = slices.SortedFunc(maps.Keys(s.members), netip.AddrPort.Compare)
	}
}

// Size returns the number of members, including those that are gone without having left for less than a minute.
func (s *Accounts) Size() int { return max(len(s.members), 1) }

// Receive handles a node's report and returns the answer, without organisations that the owner's table does not limit.
func (s *Accounts) Receive(now time.Time, node netip.AddrPort, number uint32, usages []Usage) (initial bool, shares []Share) {
	s.recordContact(now, node)
	for _, u := range usages {
		limit, ok := s.settings.Limit(u.ID())
		if !ok {
			continue
		}
		a := s.account(now, u.ID(), limit)
		a.record(now, node, number, u, s.Size())
		shares = append(shares, a.grant(now, node, s.Size()))
		initial = initial || a.initial(now)
	}
	return initial, shares
}

func (s *Accounts) recordContact(now time.Time, node netip.AddrPort) {
	p := s.peer(node)
	if !p.reportedAt.IsZero() && !p.silent {
		difference := now.Sub(p.reportedAt).Seconds() - p.gap
		p.gap += gapWeight * difference
		p.deviation += gapWeight * (math.Abs(difference) - p.deviation)
	}
	p.reportedAt, p.silent = now, false
}

func (s *Accounts) account(now time.Time, id ID, limit Limit) *account {
	a := s.accounts[id]
	if a == nil {
		a = newAccount(now, id, limit, float64(s.settings.Slack)/2)
		s.accounts[id] = a
		s.updateCoverage(now, a)
	}
	if a.limit != limit {
		a.setLimit(now, limit)
	}
	return a
}

// Push is a grant without a report, for a node that must be told at once.
type Push struct {
	node   netip.AddrPort
	shares []Share
}

// Node returns the recipient.
func (p Push) Node() netip.AddrPort { return p.node }

// Shares returns what the node may admit.
func (p Push) Shares() []Share { return p.shares }

// Tick finds nodes that are out of touch, closes accounts without reports, and returns the grants to send.
func (s *Accounts) Tick(now time.Time) []Push {
	if len(s.accounts) == 0 {
		return nil
	}
	s.forgetMembers(now, false)
	for _, p := range s.members {
		p.silent = s.outOfTouch(now, p)
	}
	var pushes []Push
	for _, id := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[id]
		limit, ok := s.settings.Limit(id)
		if !ok || now.Sub(a.demand.updatedAt) > accountRetention {
			delete(s.accounts, id)
			continue
		}
		if a.limit != limit {
			a.setLimit(now, limit)
		}
		s.updateCoverage(now, a)
		if a.updateTrend(now); !a.initial(now) {
			pushes = append(pushes, s.pushes(now, a)...)
		}
	}
	return mergePushes(pushes)
}

// mergePushes combines the grants for each node, up to MaxRows.
func mergePushes(pushes []Push) []Push {
	slices.SortStableFunc(pushes, func(a, b Push) int { return a.node.Compare(b.node) })
	merged := pushes[:0]
	for _, p := range pushes {
		if last := len(merged) - 1; last >= 0 && merged[last].node == p.node && len(merged[last].shares) < MaxRows {
			merged[last].shares = append(merged[last].shares, p.shares...)
			continue
		}
		merged = append(merged, p)
	}
	return merged
}

// pushes returns grants to the members that were told another fraction.
func (s *Accounts) pushes(now time.Time, a *account) []Push {
	if now.Sub(a.pushedAt) < pushInterval {
		return nil
	}
	var pushes []Push
	for _, node := range s.order {
		if p := s.members[node]; p.silent || p.suspect || !p.goneAt.IsZero() {
			continue
		}
		if share, due := a.push(now, node); due {
			pushes = append(pushes, Push{node: node, shares: []Share{share}})
			a.pushedAt = now
		}
	}
	return pushes
}

// outOfTouch reports whether a member's messages do not arrive, as far as the owner can tell. Members that have never
// reported are in touch unless they are suspected.
func (s *Accounts) outOfTouch(now time.Time, p *peer) bool {
	doubted := p.suspect || !p.goneAt.IsZero()
	if p.reportedAt.IsZero() {
		return doubted
	}
	silence := now.Sub(p.reportedAt)
	if doubted {
		return silence > time.Second
	}
	usual := time.Duration((p.gap + silentDeviations*p.deviation) * float64(time.Second))
	return silence > usual+silenceMargin && silence < startTime
}

// updateCoverage sets the part of the quota that is not kept back for members that are out of touch.
func (s *Accounts) updateCoverage(now time.Time, a *account) {
	a.refill(now)
	missing, equal := 0.0, 1/float64(s.Size())
	for _, address := range s.order {
		p, c := s.members[address], a.nodes[address]
		switch {
		case !p.silent && c != nil:
			c.reserved = 0 // its first reports since it was out of touch have arrived
		case p.silent && c != nil:
			missing += a.reserve(now, c, p.reportedAt)
		case p.silent, p.reportedAt.IsZero() && now.Sub(a.createdAt) < startTime:
			missing += equal
		}
	}
	a.coverage = max(1-missing, min(s.settings.freeRate()/a.limit.rate, 1))
	for address := range a.nodes {
		if s.members[address] == nil {
			delete(a.nodes, address)
		}
	}
}
