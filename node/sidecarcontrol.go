package node

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/routing"
)

func (n *Sidecar) post(e message.Event) { n.queue.post(e) }

// handle takes one event on the control thread.
func (n *Sidecar) handle(e message.Event) {
	for _, a := range n.decide(e) {
		n.execute(a)
	}
	if self := n.core.Self().Key(); self != n.self {
		n.self = self
		n.log.Info().Str("kind", "renamed").Uint64("incarnation", uint64(self.Incarnation())).Msg("address was used before, took a greater incarnation")
		n.peers.rename(self)
		n.ingress.SetSelf(self)
	}
	n.publish()
	n.noteRefused()
}

// noteRefused logs documents that could not be read. The routes in force stay.
func (n *Sidecar) noteRefused() {
	refused := n.core.Feed().Counts().Rejected
	if refused == n.refused {
		return
	}
	n.refused = refused
	n.log.Warn().Str("kind", "routes_refused").AnErr("fault", n.core.Feed().DocumentError()).Uint64("version", uint64(n.core.Feed().Version())).
		Int("refused", refused).Msg("the operator's document can't be read, the routes in force stay")
}

func (n *Sidecar) decide(e message.Event) []message.Action {
	now := n.clock.Now()
	if page, ok := e.(message.DocumentPage); ok {
		return n.core.DocumentPage(now, page)
	}
	return decide(n.core, now, e)
}

// execute carries out an action of the control thread. It does not block.
func (n *Sidecar) execute(a message.Action) {
	switch a := a.(type) {
	case message.Send:
		n.peers.send(a)
	case message.ReadLog:
		n.logs.read(a)
	case message.AppendLog:
		n.logs.append(a)
	case message.ReadDocument:
		n.documents.read(a)
	}
}

// publish hands the newest snapshot to traffic.
func (n *Sidecar) publish() {
	held, s := n.snapshot.Load(), n.core.Snapshot()
	if n.core.Joined() {
		n.fleeted.Store(true)
	}
	if s == nil || s == held {
		return
	}
	if held == nil || held.View() != s.View() {
		n.viewed = n.clock.Now()
	}
	n.snapshot.Store(s)
	if held == nil || held.Table() != s.Table() {
		n.log.Info().Str("kind", "routes_changed").Uint64("version", uint64(s.Table().Version())).Uint64("before", versionOf(held)).
			Str("source", sourceName(n.core.Feed().Source())).Dur("proof_age", n.clock.Now().Sub(n.core.Feed().ConfirmedAt())).Msg("new routes are in force")
	}
	if held == nil || len(held.View().Members()) != len(s.View().Members()) {
		n.log.Info().Str("kind", "members_changed").Int("members", len(s.View().Members())).Msg("members of the fleet changed")
	}
}

// sourceName returns the word that logs use for where a document came from.
func sourceName(node netip.AddrPort) string {
	if !node.IsValid() {
		return "store"
	}
	return node.String()
}

func versionOf(s *routing.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return uint64(s.Table().Version())
}
