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
	// Members that cannot reach it are suspected by then.
	startTime = 3 * time.Second
	// maxSilence is the time after which a member without reports that is not suspected has no requests. A member in another
	// region is suspected 3 s after it was cut off.
	maxSilence = 4 * time.Second
	// accountRetention is the time without reports after which an account is closed.
	accountRetention = 30 * time.Second
	// foreignRetention is the same for accounts that another node owns.
	foreignRetention = time.Second
	// A node is out of touch after the mean time between its reports plus silentDeviations times the mean deviation, and
	// silenceMargin.
	silentDeviations = 4
	silenceMargin    = 100 * time.Millisecond
	// gapWeight is the weight of the last time between two reports in these means.
	gapWeight = 0.2
	// An organisation is limited if the mean of its fraction is below limitedTrend, until it has not been for limitedTime.
	limitedTrend = 0.9
	limitedTime  = 5 * time.Second
	// initialGap and initialDeviation, in seconds, are assumed of a node with few reports.
	initialGap       = 1
	initialDeviation = 2.5
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
	members  *memberTable
	changes  []Change // since TakeChanges
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
	return &Accounts{settings: s, accounts: make(map[ID]*account), members: newMemberTable()}
}

// Len returns the number of accounts.
func (s *Accounts) Len() int { return len(s.accounts) }

// SetMembers sets the members of the fleet: those alive, those suspected to have failed and those that have left. Members
// in none of the lists are gone without having left.
func (s *Accounts) SetMembers(now time.Time, alive, suspect, left []netip.AddrPort) {
	for _, p := range s.members.ordered() {
		if p.goneAt.IsZero() {
			p.goneAt = now
		}
	}
	for _, address := range alive {
		p := s.members.add(address)
		p.goneAt, p.suspect = time.Time{}, false
	}
	for _, address := range suspect {
		p := s.members.add(address)
		p.goneAt, p.suspect = time.Time{}, true
	}
	for _, address := range left {
		s.members.remove(address)
	}
	s.forgetMembers(now)
}

// forgetMembers removes members that are gone for long.
func (s *Accounts) forgetMembers(now time.Time) {
	for _, p := range s.members.ordered() {
		if !p.goneAt.IsZero() && now.Sub(p.goneAt) > memberRetention {
			s.members.remove(p.address)
		}
	}
}

// Size returns the number of members, including those that are gone without having left for less than a minute.
func (s *Accounts) Size() int { return max(s.members.len(), 1) }

// Receive handles a node's report and returns the answer, without organisations that the owner's table does not limit.
func (s *Accounts) Receive(now time.Time, node netip.AddrPort, number uint32, usages []Usage) (initial bool, shares []Share) {
	if len(usages) > 0 {
		s.recordContact(now, node, usages[0].ID().Bucket(Buckets(s.Size())))
	}
	for _, u := range usages {
		limit, ok := s.settings.Limit(u.ID())
		if !ok {
			continue
		}
		a := s.account(now, u.ID(), limit)
		a.record(now, node, number, u, s.Size())
		if a.initial(now) {
			s.updateCoverage(now, a)
		}
		shares = append(shares, a.grant(now, node, s.Size()))
		initial = initial || a.initial(now)
	}
	return initial, shares
}

func (s *Accounts) recordContact(now time.Time, node netip.AddrPort, bucket int) {
	p := s.members.add(node)
	c := p.contacts[bucket]
	if c == nil {
		p.contacts[bucket] = &contact{gap: initialGap, deviation: initialDeviation, reportedAt: now}
		return
	}
	if !c.silent {
		difference := now.Sub(c.reportedAt).Seconds() - c.gap
		c.gap += gapWeight * difference
		c.deviation += gapWeight * (math.Abs(difference) - c.deviation)
	}
	c.reportedAt, c.silent, c.doubted = now, false, false
}

func (s *Accounts) account(now time.Time, id ID, limit Limit) *account {
	a := s.accounts[id]
	if a == nil {
		a = newAccount(now, id, limit, float64(s.settings.Slack)/4)
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

// Tick finds nodes that are out of touch, closes accounts without reports, and returns the grants to send. owns reports whether
// the node is the owner as it sees the fleet. If it is not, it only answers reports, as their senders see the fleet otherwise.
func (s *Accounts) Tick(now time.Time, owns func(ID) bool) []Push {
	if len(s.accounts) == 0 {
		return nil
	}
	s.forgetMembers(now)
	s.findSilent(now)
	var pushes []Push
	for _, id := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[id]
		limit, ok := s.settings.Limit(id)
		silence, owned := now.Sub(a.demand.updatedAt), owns(id)
		if !ok || silence > accountRetention || !owned && silence > foreignRetention {
			delete(s.accounts, id)
			continue
		}
		if a.limit != limit {
			a.setLimit(now, limit)
		}
		s.updateCoverage(now, a)
		if a.updateTrend(now); owned && !a.initial(now) {
			s.recordChange(now, a)
			pushes = append(pushes, s.pushes(now, a)...)
		}
	}
	return mergePushes(pushes)
}

// Change says that an owner starts or stops to limit an organisation.
type Change struct {
	id      ID
	limited bool
	demand  float64
}

// ID returns the organisation.
func (c Change) ID() ID { return c.id }

// Limited reports whether the organisation is limited from now on.
func (c Change) Limited() bool { return c.limited }

// Demand returns the requests per second at all nodes.
func (c Change) Demand() float64 { return c.demand }

// TakeChanges returns the changes since the last call.
func (s *Accounts) TakeChanges() []Change {
	taken := s.changes
	s.changes = nil
	return taken
}

// recordChange notes that an organisation is limited from now on, or has not been for a while.
func (s *Accounts) recordChange(now time.Time, a *account) {
	if a.trend < limitedTrend {
		a.limitedAt = now
	}
	limited := !a.limitedAt.IsZero() && now.Sub(a.limitedAt) < limitedTime
	if limited != a.limited {
		a.limited = limited
		s.changes = append(s.changes, Change{id: a.id, limited: limited, demand: a.demand.at(now, a.demandTime())})
	}
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
	for _, p := range s.members.ordered() {
		if p.doubted() {
			continue
		}
		if share, due := a.push(now, p.address); due {
			pushes = append(pushes, Push{node: p.address, shares: []Share{share}})
			a.pushedAt = now
		}
	}
	return pushes
}

// findSilent finds the members whose reports do not arrive. If most of a bucket's reporters fall silent without being
// suspected, they have no requests.
func (s *Accounts) findSilent(now time.Time) {
	silent, reporting := make(map[int]int), make(map[int]int)
	for _, p := range s.members.ordered() {
		for bucket, c := range p.contacts {
			c.doubted = c.doubted || p.doubted()
			c.silent = c.outOfTouch(now, p.doubted())
			if c.silent && !p.doubted() {
				silent[bucket]++
			}
			if now.Sub(c.reportedAt) < maxSilence {
				reporting[bucket]++
			}
		}
	}
	for _, p := range s.members.ordered() {
		for bucket, c := range p.contacts {
			if 2*silent[bucket] >= reporting[bucket] {
				c.silent = c.silent && p.doubted()
			}
		}
	}
}

// outOfTouch reports whether a member's messages do not arrive, as far as the owner can tell. doubted states that the member
// may have failed.
func (c *contact) outOfTouch(now time.Time, doubted bool) bool {
	silence := now.Sub(c.reportedAt)
	if doubted {
		return silence > time.Second
	}
	usual := time.Duration((c.gap + silentDeviations*c.deviation) * float64(time.Second))
	return silence > usual+silenceMargin && silence < maxSilence
}

// updateCoverage sets the part of the quota that is not kept back for members that are out of touch.
func (s *Accounts) updateCoverage(now time.Time, a *account) {
	a.refill(now)
	missing, equal := 0.0, 1/float64(s.Size())
	bucket := a.id.Bucket(Buckets(s.Size()))
	for _, p := range s.members.ordered() {
		known, c := p.contacts[bucket], a.nodes[p.address]
		switch {
		case known == nil && (p.doubted() || now.Sub(a.createdAt) < startTime):
			missing += equal
		case known == nil || c == nil && !known.silent:
		case c == nil:
			missing += equal
		case known.silent:
			missing += a.reserve(now, c, known.reportedAt)
		default:
			// It has reported since, but not this organisation, or has been idle. It had no requests of the organisation.
			if !known.doubted {
				a.level += c.reserved
			}
			c.reserved = 0
		}
	}
	a.coverage = max(1-missing, min(s.settings.freeRate()/a.limit.rate, 1))
	for address := range a.nodes {
		if s.members.get(address) == nil {
			delete(a.nodes, address)
		}
	}
}
