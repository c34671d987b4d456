package control

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// defaultSchedules is the number of schedules drawn if -rapid.checks is not set.
const defaultSchedules = "20"

// TestMain sets a fixed seed for rapid if none is given, so that all runs draw the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		_ = flag.Set("rapid.checks", defaultSchedules)
	}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
	}
	os.Exit(m.Run())
}

// invariants checks the guarantees of the system after every event, against a state to which the whole log is applied.
type invariants struct {
	net        *network
	oracle     *catalog.State
	digests    []message.Digest // digests of the oracle by head
	configs    map[record.Version]*catalog.Snapshot
	logEnds    []logEnd
	lastStates map[*Core]*coreState
	receipts   []publishReceipt
	violation  string // first violation, or ""
}

// logEnd is the end offset of the log from a time on.
type logEnd struct {
	time   time.Time
	offset record.Offset
}

// coreState is the state of a core after its last event.
type coreState struct {
	digest          message.Digest
	joined          bool
	checkedVersions map[record.Version]bool
}

type publishReceipt struct {
	id      record.PublishID
	receipt message.Receipt
}

func newInvariants(w *network) *invariants {
	p := &invariants{
		net: w, oracle: catalog.New(), configs: make(map[record.Version]*catalog.Snapshot), lastStates: make(map[*Core]*coreState),
	}
	p.recordLogEnd()
	w.onEvent = p.check
	w.log.onAppend = func(e record.Entry) {
		if _, err := p.oracle.Apply(e); err != nil {
			panic(err)
		}
		p.recordLogEnd()
	}
	return p
}

// recordLogEnd records the state of the oracle after an append.
func (p *invariants) recordLogEnd() {
	p.digests = append(p.digests, message.NewDigest(p.oracle.Version(), p.oracle.Head(), p.oracle.Chain()))
	p.configs[p.oracle.Version()] = p.oracle.Snapshot()
	p.logEnds = append(p.logEnds, logEnd{p.net.now, p.oracle.Head()})
}

func (p *invariants) report(n *testNode, format string, args ...any) {
	if p.violation == "" {
		p.violation = fmt.Sprintf("%s node %d: ", p.net.now.Sub(testEpoch), n.index) + fmt.Sprintf(format, args...)
	}
}

func (p *invariants) check(n *testNode) {
	d := n.core.relay.Digest()
	s, ok := p.lastStates[n.core]
	if !ok {
		s = &coreState{checkedVersions: make(map[record.Version]bool)}
		p.lastStates[n.core] = s
	}
	config := n.core.Snapshot().Config()
	if d.Version() < s.digest.Version() || d.Head() < s.digest.Head() || config.Version() < s.digest.Version() {
		p.report(n, "version or head fell from %v to %v", s.digest, d)
	}
	s.digest = d
	p.checkHistory(n, d, config)
	if !s.checkedVersions[config.Version()] {
		s.checkedVersions[config.Version()] = true
		p.checkConfig(n, config)
	}
	if n.core.Joined() && !s.joined {
		s.joined = true
		p.checkJoin(n, d)
	}
}

// checkHistory checks that a node has applied a prefix of the log, which implies that no accepted change is lost or
// reverted.
func (p *invariants) checkHistory(n *testNode, d message.Digest, config *catalog.Snapshot) {
	if int(d.Head()) >= len(p.digests) {
		p.report(n, "head %d lies beyond the log", d.Head())
		return
	}
	if want := p.digests[d.Head()]; d != want {
		p.report(n, "holds %v where the log gives %v", d, want)
	}
	if config.Version() != d.Version() {
		p.report(n, "shows version %d while it holds %d", config.Version(), d.Version())
	}
}

// checkConfig checks that a configuration equals the accepted one of its version and has no dangling references.
func (p *invariants) checkConfig(n *testNode, config *catalog.Snapshot) {
	want, ok := p.configs[config.Version()]
	if !ok || !reflect.DeepEqual(config.Records(), want.Records()) {
		p.report(n, "version %d is not what was accepted", config.Version())
	}
	for _, r := range config.Records() {
		for _, ref := range r.References() {
			if _, ok := config.Record(ref); !ok {
				p.report(n, "%s refers to missing %s", r.ID(), ref)
			}
		}
	}
}

// maxLogEndAge limits how long ago the log may have ended at the head of a node that joins.
const maxLogEndAge = 11 * time.Second

// checkJoin checks that a node joins with the recent end of the log applied, and that it joins unconfirmed only while the
// log is or recently was unavailable to it.
func (p *invariants) checkJoin(n *testNode, d message.Digest) {
	if n.core.relay.Unconfirmed() {
		if !p.net.log.unreachable(n) && p.net.log.readDelay <= maxConfirmingReadDelay && p.net.now.Sub(p.net.log.healthySince) > 2*maxLogEndAge {
			p.report(n, "joined without the log, which is up")
		}
		return
	}
	end := record.Offset(0)
	for _, e := range p.logEnds {
		if p.net.now.Sub(e.time) > maxLogEndAge {
			end = e.offset
		}
	}
	if d.Head() < end {
		p.report(n, "serves from head %d; the log was at %d long ago", d.Head(), end)
	}
}

// publish publishes a change set at a node and records the receipt.
func (p *invariants) publish(n *testNode, cs record.ChangeSet) {
	n.execute(n.core.Publish(p.net.now, cs, func(r message.Receipt) {
		p.receipts = append(p.receipts, publishReceipt{cs.PublishID(), r})
	}))
}

// checkReceipts checks that the decision in each receipt is that of the log, and that the log has decided on no change
// set that a receipt reports as not appended.
func (p *invariants) checkReceipts() {
	for _, r := range p.receipts {
		o, decided := p.oracle.Outcome(r.id)
		switch r.receipt.State() {
		case message.ReceiptDecided:
			if !decided || !reflect.DeepEqual(o, r.receipt.Outcome()) {
				p.report(p.net.nodes[0], "receipt of %s says %v, the log %v", r.id, r.receipt.Outcome(), o)
			}
		case message.ReceiptNotAppended:
			if decided {
				p.report(p.net.nodes[0], "%s is said not to be appended, and is", r.id)
			}
		}
	}
}
