package node

import (
	"net/netip"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/routing"
)

func (n *Sidecar) post(e message.Event) { n.queue.post(e) }

// handle processes one event on the control loop.
func (n *Sidecar) handle(e message.Event) {
	for _, a := range n.dispatch(e) {
		n.execute(a)
	}
	if self := n.core.Self().Key(); self != n.self {
		n.self = self
		n.log.Info().Str("kind", "renamed").Uint64("incarnation", uint64(self.Incarnation())).Msg("the address had a greater incarnation before; using a greater one than that")
		n.peers.setSelf(self)
		n.ingress.SetSelf(self)
	}
	n.publish()
	n.rollouts.publish(n.core)
	n.logRejectedDocuments()
	n.logStoreEra()
	n.quota.logChanges(n.core.QuotaChanges())
}

// logStoreEra logs that the store has returned from a copy without its last entries, and that it holds an older document
// than other nodes, which a starting node waits for.
func (n *Sidecar) logStoreEra() {
	f := n.core.Feed()
	if era := n.core.StoreEra(); era != n.storeEra {
		if n.storeEra != 0 {
			n.log.Warn().Str("kind", "store_returned").Uint64("era", uint64(era)).Uint64("before", uint64(n.storeEra)).Uint64("version", uint64(f.Version())).
				Msg("the store has returned without its last entries; writing the address again and reading from the newest document")
		}
		n.storeEra = era
	}
	if outdated := f.Counts().Outdated; outdated != n.outdatedDocuments {
		n.outdatedDocuments = outdated
		n.log.Warn().Str("kind", "routes_awaited").Uint64("wanted", uint64(f.Wanted())).Msg("the store holds an older document than another node; waiting for that node")
	}
}

// logRejectedDocuments logs that a document could not be decoded. The active routes stay.
func (n *Sidecar) logRejectedDocuments() {
	rejected := n.core.Feed().Counts().Rejected
	if rejected == n.rejectedDocuments {
		return
	}
	n.rejectedDocuments = rejected
	n.log.Warn().Str("kind", "routes_refused").AnErr("fault", n.core.Feed().DocumentError()).Uint64("version", uint64(n.core.Feed().Version())).
		Int("refused", rejected).Msg("the operator's document cannot be decoded; keeping the active routes")
}

func (n *Sidecar) dispatch(e message.Event) []message.Action {
	now := n.clock.Now()
	switch e := e.(type) {
	case message.DocumentPage:
		n.rollouts.logMalformed(e.MalformedOrders())
		return n.core.ReceiveDocumentPage(now, e)
	case message.RolloutResult:
		n.rollouts.logResult(e)
		return n.core.ReceiveRolloutResult(now, e)
	case message.RolloutHalt:
		return n.core.HaltRollout(now, e)
	}
	return dispatch(n.core, now, e)
}

// execute starts an action of the control loop. It does not block.
func (n *Sidecar) execute(a message.Action) {
	switch a := a.(type) {
	case message.Send:
		n.peers.send(a)
	case message.ReadLog:
		n.logClient.read(a)
	case message.AppendLog:
		n.logClient.append(a)
	case message.ReadDocument:
		n.documents.read(a)
	case message.RolloutAction:
		n.rolloutStore.execute(a)
	}
}

// publish makes the newest snapshot available to requests.
func (n *Sidecar) publish() {
	n.quarantine.publish(n.core.Quarantine())
	current, s := n.snapshot.Load(), n.core.Snapshot()
	if n.core.Joined() {
		n.joined.Store(true)
	}
	if s == nil || s == current {
		return
	}
	if current == nil || current.View() != s.View() {
		n.viewChangedAt = n.clock.Now()
	}
	n.snapshot.Store(s)
	n.ingress.SnapshotChanged()
	if current == nil {
		n.findServer()
	}
	if current == nil || current.Table() != s.Table() {
		n.log.Info().Str("kind", "routes_changed").Uint64("version", uint64(s.Table().Version())).Uint64("before", versionOf(current)).
			Str("source", sourceName(n.core.Feed().Source())).Dur("proof_age", n.clock.Now().Sub(n.core.Feed().ConfirmedAt())).Msg("new routes are in force")
	}
	if current == nil || len(current.View().Members()) != len(s.View().Members()) {
		n.log.Info().Str("kind", "members_changed").Int("members", len(s.View().Members())).Msg("members of the fleet changed")
	}
}

// findServer asks the server on the VM for its health at the path that the routes state. During the first start of the whole
// fleet, servers announce themselves before callers come.
func (n *Sidecar) findServer() {
	if s := n.settings.Load(); s.ServerAddress().IsValid() && !s.FirstStart() {
		n.heartbeats.find(s.Service(), s.ServerAddress())
	}
}

// sourceName returns the source of a document for logs: the node that sent it, or the store.
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
