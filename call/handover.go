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

// HandoverPath is the path on the peers' port at which a node takes the final export of another node's
// ledger. The callers' port refuses it.
const HandoverPath = "/bambooknot/handover"

const (
	// handoverCopies is the number of successors that an export is sent to.
	handoverCopies = 2
	// maxAsked is the number of successors asked. With a new process at the owner's address, which the
	// owner did not rank, one successor more has to be asked to find both.
	maxAsked = handoverCopies + 1
	// askTime bounds the time for asking successors.
	askTime = 500 * time.Millisecond
	// takeTime bounds the time for reading an export.
	takeTime = 2 * time.Second
)

type handoverCounters struct {
	sent    tally.Counter // exports of this node that a successor took
	failed  tally.Counter // exports of this node that could not be made or sent
	kept    tally.Counter // exports of other nodes that were taken
	refused tally.Counter // exports of other nodes that were malformed, too large or expired
	told    tally.Counter // answers about keys of departed nodes that an export gave
}

func newHandoverCounters(scope tally.Scope) handoverCounters {
	return handoverCounters{
		sent:    scope.Counter("handover_sent"),
		failed:  scope.Counter("handover_failed"),
		kept:    scope.Counter("handover_kept"),
		refused: scope.Counter("handover_refused"),
		told:    scope.Counter("handover_told"),
	}
}

// departedStore is a ledger.ExportStore for concurrent use.
type departedStore struct {
	taking sync.Mutex // one export is read and decoded at a time, to bound the memory

	mu   sync.Mutex
	kept *ledger.ExportStore
}

func (d *departedStore) keep(now time.Time, e ledger.Export) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kept.Add(now, e)
}

func (d *departedStore) ask(now time.Time, key ledger.Key, fp ledger.Fingerprint) (ledger.Verdict, ledger.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kept.Lookup(now, key, fp)
}

// Handover freezes the ledger for good and sends its final export to the successors. Close must have
// returned. It returns the number of successors that keep the export. On an error or with none, keys of
// this process end as unknown, as after a crash. The context bounds the time.
func (o *Owner) Handover(ctx context.Context, forward http.RoundTripper) (int, error) {
	export, err := o.ledger.Freeze(o.timers.Now())
	if err != nil {
		return 0, oops.In("call.handover").Wrap(err)
	}
	snap, to := o.snapshot(), o.backend.Load()
	if snap == nil || to == nil {
		return 0, nil
	}
	data, err := ledger.EncodeExport(export)
	if err != nil {
		o.handover.failed.Inc(1)
		return 0, oops.In("call.handover").Wrap(err)
	}
	peers := successors(snap.View(), to.server.Service(), export.Owner(), handoverCopies)
	return o.sendExport(ctx, forward, peers, data)
}

// sendExport sends to all peers at once and waits. The error is that of the last peer that failed.
func (o *Owner) sendExport(ctx context.Context, forward http.RoundTripper, peers []member.Key, data []byte) (int, error) {
	errs := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { errs <- postExport(ctx, forward, peer, data) }()
	}
	sent := 0
	var failed error
	for range peers {
		if err := <-errs; err != nil {
			o.handover.failed.Inc(1)
			failed = err
			continue
		}
		o.handover.sent.Inc(1)
		sent++
	}
	return sent, failed
}

func postExport(ctx context.Context, forward http.RoundTripper, peer member.Key, data []byte) error {
	fault := oops.In("call.handover").With("peer", peer.Peer())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.Peer().String()+HandoverPath, bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(err)
	}
	resp, err := forward.RoundTrip(req)
	if err != nil {
		return fault.Wrap(err)
	}
	defer discard(resp)
	if resp.StatusCode != http.StatusNoContent {
		return fault.Errorf("the successor answered %s", resp.Status)
	}
	return nil
}

// isHandover tells an export from a forwarded call, which always names a service.
func isHandover(r *http.Request) bool {
	return r.URL.Path == HandoverPath && r.Method == http.MethodPost && r.Header.Get(HeaderService) == ""
}

// serveHandover keeps the export of another process.
func (o *Owner) serveHandover(w http.ResponseWriter, r *http.Request) {
	o.departed.taking.Lock()
	defer o.departed.taking.Unlock()
	_ = http.NewResponseController(w).SetReadDeadline(o.timers.Now().Add(takeTime))
	if err := o.keepExport(http.MaxBytesReader(w, r.Body, ledger.MaxExportBytes)); err != nil {
		o.handover.refused.Inc(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.handover.kept.Inc(1)
	w.WriteHeader(http.StatusNoContent)
}

func (o *Owner) keepExport(body io.Reader) error {
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
	return o.departed.keep(o.timers.Now(), export)
}

// begin asks the ledger, and for a key of another process the exports of departed ones. These never
// give a key to run.
func (o *Owner) begin(key ledger.Key, fp ledger.Fingerprint) (ledger.Verdict, ledger.Response, <-chan struct{}) {
	now := o.timers.Now()
	verdict, answer, done := o.ledger.Begin(now, key, fp)
	if verdict != ledger.VerdictStale || key.Owner() == o.ledger.Owner() {
		return verdict, answer, done
	}
	verdict, answer = o.departed.ask(now, key, fp)
	if verdict != ledger.VerdictStale {
		o.handover.told.Inc(1)
	}
	return verdict, answer, nil
}

// askSuccessors asks the nodes that may keep the export of an owner that is gone. Only what an export
// tells counts; otherwise the fault stands. An attempt that broke before does no harm: the export lists
// all that the owner ran.
func (i *Ingress) askSuccessors(ctx context.Context, q *request, fault refusal, good *bool) *refusal {
	if fault.outcome != OutcomeUnknown || !q.body.whole() {
		return &fault
	}
	key, err := ledger.ParseKey(i.settings.Fleet, q.r.Header.Get(HeaderKey))
	if err != nil || i.ambiguous(q, key.Owner()) {
		return &fault
	}
	bounded, cancel := WithDeadline(ctx, i.settings.Timers, i.settings.Timers.Now().Add(askTime))
	defer cancel()
	for _, m := range successors(q.snapshot.View(), q.route.Service(), key.Owner(), maxAsked) {
		if bounded.Err() != nil {
			break
		}
		a := i.forward(bounded, q, m)
		if a.resp != nil {
			i.started(m)
			i.pass(q, m, a.resp, good)
			return nil
		}
		if a.fault.settled() {
			return &a.fault
		}
	}
	return &fault
}

// settled tells whether a refusal comes from what a ledger or an export knows of the key.
func (f refusal) settled() bool {
	switch f.reason {
	case ReasonKeyRefused:
		return f.outcome == OutcomeNotRun
	case ReasonKeyReused:
		return f.outcome == OutcomeBad
	}
	return false
}
