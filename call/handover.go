package call

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/member"
)

// HandoverPath is the path on the peer port at which a node accepts the final export of another node's
// ledger. The callers' port rejects it.
const HandoverPath = "/bambooknot/handover"

const (
	// handoverCopies is the number of successors that an export is sent to.
	handoverCopies = 2
	// maxSuccessorsAsked is the number of successors asked about a key. A new process at the owner's address
	// was not in the owner's own ranking, so one more than handoverCopies must be asked to reach both copies.
	maxSuccessorsAsked = handoverCopies + 1
	askTimeout         = 500 * time.Millisecond // for asking all successors
	exportReadTimeout  = 2 * time.Second
)

type handoverCounters struct {
	sent     tally.Counter // exports of this node that a successor accepted
	failed   tally.Counter // exports of this node that could not be made or sent
	stored   tally.Counter // exports of other nodes that were accepted
	refused  tally.Counter // exports of other nodes that were malformed, too large or expired
	resolved tally.Counter // lookups of departed nodes' keys that an export answered
}

func newHandoverCounters(scope tally.Scope) handoverCounters {
	return handoverCounters{
		sent:     scope.Counter("handover_sent"),
		failed:   scope.Counter("handover_failed"),
		stored:   scope.Counter("handover_kept"),
		refused:  scope.Counter("handover_refused"),
		resolved: scope.Counter("handover_told"),
	}
}

// concurrentExportStore makes a ledger.ExportStore safe for concurrent use.
type concurrentExportStore struct {
	importMu sync.Mutex // serialises reading and decoding of exports, to bound the memory used

	mu      sync.Mutex
	exports *ledger.ExportStore
}

func (d *concurrentExportStore) add(now time.Time, e ledger.Export) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exports.Add(now, e)
}

func (d *concurrentExportStore) lookup(now time.Time, key ledger.Key, fp ledger.Fingerprint) (ledger.Verdict, ledger.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exports.Lookup(now, key, fp)
}

// Handover freezes the ledger permanently and sends its final export to the successors. Close must have
// returned before. Handover returns the number of successors that accepted the export. If none did, repeated
// calls with keys of this process get OutcomeUnknown, as after a crash. The context bounds the time.
func (o *Owner) Handover(ctx context.Context, forward http.RoundTripper) (int, error) {
	export, err := o.ledger.Freeze(o.timers.Now())
	if err != nil {
		return 0, oops.In("call.handover").Wrap(err)
	}
	snap, target := o.snapshot(), o.backend.Load()
	if snap == nil || target == nil {
		return 0, nil
	}
	data, err := ledger.EncodeExport(export)
	if err != nil {
		o.handover.failed.Inc(1)
		return 0, oops.In("call.handover").Wrap(err)
	}
	peers := successors(snap.View(), target.server.Service(), export.Owner(), handoverCopies)
	return o.sendExport(ctx, forward, peers, data)
}

// sendExport sends the export to all peers concurrently and waits for the results. It returns the number of
// peers that accepted it and the last error.
func (o *Owner) sendExport(ctx context.Context, forward http.RoundTripper, peers []member.Key, data []byte) (int, error) {
	errs := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { errs <- postExport(ctx, forward, peer, data) }()
	}
	sent := 0
	var lastErr error
	for range peers {
		if err := <-errs; err != nil {
			o.handover.failed.Inc(1)
			lastErr = err
			continue
		}
		o.handover.sent.Inc(1)
		sent++
	}
	return sent, lastErr
}

func postExport(ctx context.Context, forward http.RoundTripper, peer member.Key, data []byte) error {
	errb := oops.In("call.handover").With("peer", peer.Peer())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Peer().String()+HandoverPath, bytes.NewReader(data))
	if err != nil {
		return errb.Wrap(err)
	}
	resp, err := forward.RoundTrip(req)
	if err != nil {
		return errb.Wrap(err)
	}
	defer discard(resp)
	if resp.StatusCode != http.StatusNoContent {
		return errb.Errorf("successor rejected the export with status %s, want 204", resp.Status)
	}
	return nil
}

// isHandover reports whether a request carries an export. A forwarded call to the same path differs in that
// it always names a service.
func isHandover(r *http.Request) bool {
	return r.URL.Path == HandoverPath && r.Method == http.MethodPost && r.Header.Get(HeaderService) == ""
}

// serveHandover stores the export of another node process.
func (o *Owner) serveHandover(w http.ResponseWriter, r *http.Request) {
	o.peerExports.importMu.Lock()
	defer o.peerExports.importMu.Unlock()
	_ = http.NewResponseController(w).SetReadDeadline(o.timers.Now().Add(exportReadTimeout))
	if err := o.storeExport(http.MaxBytesReader(w, r.Body, ledger.MaxExportBytes)); err != nil {
		o.handover.refused.Inc(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.handover.stored.Inc(1)
	w.WriteHeader(http.StatusNoContent)
}

func (o *Owner) storeExport(body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	export, err := ledger.DecodeExport(data)
	if err != nil {
		return err
	}
	if export.Owner() == o.ledger.Owner() {
		return ledger.ErrExportRejected
	}
	return o.peerExports.add(o.timers.Now(), export)
}

// beginKeyed looks a key up in the ledger, and a key of another process in the exports of departed
// processes. An export never yields ledger.VerdictRun.
func (o *Owner) beginKeyed(key ledger.Key, fp ledger.Fingerprint) (ledger.Verdict, ledger.Response, <-chan struct{}) {
	now := o.timers.Now()
	verdict, stored, done := o.ledger.Begin(now, key, fp)
	if verdict != ledger.VerdictStale || key.Owner() == o.ledger.Owner() {
		return verdict, stored, done
	}
	verdict, stored = o.peerExports.lookup(now, key, fp)
	if verdict != ledger.VerdictStale {
		o.handover.resolved.Inc(1)
	}
	return verdict, stored, nil
}

// askSuccessors sends a keyed call to the nodes that may hold the export of a departed owner. It returns the
// original failure unless an export decides the outcome. An earlier attempt whose connection broke does no
// harm, because the export accounts for everything that the owner ran.
func (i *Ingress) askSuccessors(ctx context.Context, q *request, original failure, good *bool) *failure {
	if original.outcome != OutcomeUnknown || !q.body.repeatable() {
		return &original
	}
	key, err := ledger.ParseKey(i.settings.Fleet, q.r.Header.Get(HeaderKey))
	if err != nil || i.ambiguous(q, key.Owner()) {
		return &original
	}
	askCtx, cancel := WithDeadline(ctx, i.settings.Timers, i.settings.Timers.Now().Add(askTimeout))
	defer cancel()
	for _, m := range successors(q.snapshot.View(), q.route.Service(), key.Owner(), maxSuccessorsAsked) {
		if askCtx.Err() != nil {
			break
		}
		a := i.forward(askCtx, q, m)
		if a.resp != nil {
			i.recordStart(m)
			i.relayResponse(q, m, a.resp, good)
			return nil
		}
		if a.failure.fromLedger() {
			return &a.failure
		}
	}
	return &original
}

// fromLedger reports whether a failure results from what a ledger or an export says about the key.
func (f failure) fromLedger() bool {
	switch f.reason {
	case ReasonKeyRefused:
		return f.outcome == OutcomeNotRun
	case ReasonKeyReused:
		return f.outcome == OutcomeBad
	}
	return false
}
