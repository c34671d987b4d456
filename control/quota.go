package control

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quota"
	"github.com/bambooknot/bambooknot/routing"
)

// quotaExchange connects a node's part in the quotas of organisations with the fleet and the table in force. It does nothing
// while no organisation has a quota.
type quotaExchange struct {
	node          *quota.Node
	fleet         *fleet.Machine
	view          *member.View           // that the node's part was told
	organisations *routing.Organisations // that limited was made from
	limited       map[quota.ID]routing.Organisation
}

func newQuotaExchange(f *fleet.Machine, settings QuotaSettings, newNode func(quota.Settings) *quota.Node) *quotaExchange {
	x := &quotaExchange{fleet: f}
	x.node = newNode(quota.Settings{Limit: x.limit, Slack: settings.Slack, Window: settings.Window})
	return x
}

// limit returns the limit of an organisation in the table in force.
func (x *quotaExchange) limit(id quota.ID) (quota.Limit, bool) {
	o, ok := x.limited[id]
	return quota.LimitOf(o), ok
}

// setTable applies the quotas of a table, which may be nil. The limiter must know the members before requests are decided
// on with the table, as it would admit a whole burst at each node otherwise.
func (x *quotaExchange) setTable(now time.Time, table *routing.Table) {
	if table == nil || table.Organisations() == x.organisations {
		return
	}
	x.organisations, x.limited = table.Organisations(), nil
	if x.organisations == nil {
		return
	}
	x.limited = make(map[quota.ID]routing.Organisation)
	for _, o := range x.organisations.Limited() {
		x.limited[quota.NewID(o.Name())] = o
	}
	if len(x.limited) > 0 {
		x.updateMembers(now)
	}
}

func (x *quotaExchange) idle() bool { return len(x.limited) == 0 && x.node.Accounts() == 0 }

func (x *quotaExchange) tick(now time.Time) []message.Action {
	if x.idle() {
		return nil
	}
	x.updateMembers(now)
	return sendQuotas(x.node.Tick(now))
}

// receive handles the reports and grants of other nodes.
func (x *quotaExchange) receive(now time.Time, env message.Envelope) []message.Action {
	if x.idle() {
		return nil
	}
	switch body := env.Body().(type) {
	case message.QuotaReport:
		x.updateMembers(now)
		return sendQuotas(x.node.Receive(now, env.Sender().Peer(), quota.NewReport(body.Number(), body.Usages())))
	case message.QuotaGrant:
		x.node.Receive(now, env.Sender().Peer(), quota.NewGrant(body.Number(), body.Initial(), body.Shares()))
	}
	return nil
}

// updateMembers passes a changed view on.
func (x *quotaExchange) updateMembers(now time.Time) {
	view := x.fleet.View()
	if view == x.view {
		return
	}
	x.view = view
	var alive, suspect, left []netip.AddrPort
	for _, m := range view.Members() {
		if m.Health() == member.HealthSuspect {
			suspect = append(suspect, m.Key().Peer())
			continue
		}
		alive = append(alive, m.Key().Peer())
	}
	for _, m := range x.fleet.Members() {
		if m.Health() == member.HealthLeft {
			left = append(left, m.Key().Peer())
		}
	}
	x.node.SetMembers(now, alive, suspect, left)
}

// changes returns the organisations that the node as their owner has started or stopped to limit.
func (x *quotaExchange) changes() []QuotaChange {
	var changes []QuotaChange
	for _, c := range x.node.TakeChanges() {
		if o, ok := x.limited[c.ID()]; ok {
			changes = append(changes, QuotaChange{organisation: o, limited: c.Limited(), demand: c.Demand()})
		}
	}
	return changes
}

func sendQuotas(messages []quota.Message) []message.Action {
	var out []message.Action
	for _, m := range messages {
		if m.Usages() != nil {
			out = append(out, message.NewSend(m.To(), message.NewQuotaReport(m.Number(), m.Usages())))
			continue
		}
		out = append(out, message.NewSend(m.To(), message.NewQuotaGrant(m.Number(), m.Initial(), m.Shares())))
	}
	return out
}

// QuotaSettings configure the quotas of organisations.
type QuotaSettings struct {
	Limiter *quota.Shared // that the traffic uses; nil if there are no quotas
	Slack   int           // requests that may be admitted over a quota within Window
	Window  time.Duration
}

// QuotaChange says that nodes start or stop to refuse requests of an organisation because of its quota.
type QuotaChange struct {
	organisation routing.Organisation
	limited      bool
	demand       float64
}

// Organisation returns the organisation.
func (c QuotaChange) Organisation() routing.Organisation { return c.organisation }

// Limited reports whether requests are refused from now on.
func (c QuotaChange) Limited() bool { return c.limited }

// Demand returns the requests per second at all nodes, retries included.
func (c QuotaChange) Demand() float64 { return c.demand }
