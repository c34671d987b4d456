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

// defaultSchedules is the number of schedules drawn unless -rapid.checks says otherwise.
const defaultSchedules = "20"

// TestMain fixes the seed of rapid, so that all runs draw the same schedules.
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

// promises checks after every event what the system promises, against an own fold of the whole log.
type promises struct {
	net      *network
	oracle   *catalog.State
	digests  []message.Digest // of the oracle at each head
	configs  map[record.Version]*catalog.Snapshot
	ends     []logEnd
	seen     map[*Core]*seenCore
	receipts []promised
	broken   string // the first promise that was broken
}

// logEnd is the offset of the log's next append from a time on.
type logEnd struct {
	at   time.Time
	next record.Offset
}

// seenCore is what a process showed last.
type seenCore struct {
	digest message.Digest
	joined bool
	checks map[record.Version]bool
}

type promised struct {
	id      record.PublishID
	receipt message.Receipt
}

func newPromises(w *network) *promises {
	p := &promises{
		net: w, oracle: catalog.New(), configs: make(map[record.Version]*catalog.Snapshot), seen: make(map[*Core]*seenCore),
	}
	p.note()
	w.observe = p.check
	w.log.appended = func(e record.Entry) {
		if _, err := p.oracle.Apply(e); err != nil {
			panic(err)
		}
		p.note()
	}
	return p
}

func (p *promises) note() {
	p.digests = append(p.digests, message.NewDigest(p.oracle.Version(), p.oracle.Head(), p.oracle.Chain()))
	p.configs[p.oracle.Version()] = p.oracle.Snapshot()
	p.ends = append(p.ends, logEnd{p.net.now, p.oracle.Head()})
}

func (p *promises) fail(n *testNode, format string, args ...any) {
	if p.broken == "" {
		p.broken = fmt.Sprintf("%s node %d: ", p.net.now.Sub(testEpoch), n.index) + fmt.Sprintf(format, args...)
	}
}

func (p *promises) check(n *testNode) {
	d := n.core.relay.Digest()
	s, ok := p.seen[n.core]
	if !ok {
		s = &seenCore{checks: make(map[record.Version]bool)}
		p.seen[n.core] = s
	}
	config := n.core.Snapshot().Config()
	if d.Version() < s.digest.Version() || d.Head() < s.digest.Head() || config.Version() < s.digest.Version() {
		p.fail(n, "version or head fell from %v to %v", s.digest, d)
	}
	s.digest = d
	p.checkHistory(n, d, config)
	if !s.checks[config.Version()] {
		s.checks[config.Version()] = true
		p.checkConfig(n, config)
	}
	if n.core.Joined() && !s.joined {
		s.joined = true
		p.checkJoin(n, d)
	}
}

// checkHistory: what a node holds is a prefix of the log, so nothing accepted is lost or reverted.
func (p *promises) checkHistory(n *testNode, d message.Digest, config *catalog.Snapshot) {
	if int(d.Head()) >= len(p.digests) {
		p.fail(n, "head %d lies beyond the log", d.Head())
		return
	}
	if want := p.digests[d.Head()]; d != want {
		p.fail(n, "holds %v where the log gives %v", d, want)
	}
	if config.Version() != d.Version() {
		p.fail(n, "shows version %d while it holds %d", config.Version(), d.Version())
	}
}

func (p *promises) checkConfig(n *testNode, config *catalog.Snapshot) {
	want, ok := p.configs[config.Version()]
	if !ok || !reflect.DeepEqual(config.Records(), want.Records()) {
		p.fail(n, "version %d is not what was accepted", config.Version())
	}
	for _, r := range config.Records() {
		for _, ref := range r.References() {
			if _, ok := config.Record(ref); !ok {
				p.fail(n, "%s refers to missing %s", r.ID(), ref)
			}
		}
	}
}

// staleLimit bounds the age of the log's end up to which a node has folded when it starts to serve.
const staleLimit = 11 * time.Second

func (p *promises) checkJoin(n *testNode, d message.Digest) {
	if n.core.relay.Unconfirmed() {
		if !p.net.log.unreachable(n) && p.net.log.slow <= tooSlow && p.net.now.Sub(p.net.log.upSince) > 2*staleLimit {
			p.fail(n, "joined without the log, which is up")
		}
		return
	}
	end := record.Offset(0)
	for _, e := range p.ends {
		if p.net.now.Sub(e.at) > staleLimit {
			end = e.next
		}
	}
	if d.Head() < end {
		p.fail(n, "serves from head %d; the log was at %d long ago", d.Head(), end)
	}
}

// publish publishes at a node and notes the receipt.
func (p *promises) publish(n *testNode, cs record.ChangeSet) {
	n.do(n.core.Publish(p.net.now, cs, func(r message.Receipt) {
		p.receipts = append(p.receipts, promised{cs.PublishID(), r})
	}))
}

// checkReceipts: an accepted change is part of the history with that version, a refused one is refused,
// and one that is said not to be appended never is.
func (p *promises) checkReceipts() {
	for _, r := range p.receipts {
		o, decided := p.oracle.Outcome(r.id)
		switch r.receipt.State() {
		case message.ReceiptDecided:
			if !decided || !reflect.DeepEqual(o, r.receipt.Outcome()) {
				p.fail(p.net.nodes[0], "receipt of %s says %v, the log %v", r.id, r.receipt.Outcome(), o)
			}
		case message.ReceiptNotAppended:
			if decided {
				p.fail(p.net.nodes[0], "%s is said not to be appended, and is", r.id)
			}
		}
	}
}
