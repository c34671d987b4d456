package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// LevelError says why a change set that raises the schema level was not appended: live members do not
// understand the level.
type LevelError struct {
	level        record.Schema
	incompatible []member.Member
}

// Level returns the level that the change set asks for.
func (e *LevelError) Level() record.Schema { return e.level }

// Incompatible returns the members that do not understand it. The caller must not change it.
func (e *LevelError) Incompatible() []member.Member { return e.incompatible }

// Error implements error.
func (e *LevelError) Error() string {
	names := make([]string, len(e.incompatible))
	for i, m := range e.incompatible {
		names[i] = fmt.Sprintf("%s (schema %d)", m.Key().Peer(), m.NewestSchema())
	}
	return fmt.Sprintf("schema %d is not understood by %s", e.level, strings.Join(names, ", "))
}

// Publish appends a change set to the log and calls done exactly once, when the fleet has decided, when
// the log has refused the entry, or when neither is known after the time to wait. done runs within a
// call of the Core.
func (c *Core) Publish(now time.Time, cs record.ChangeSet, done func(message.Receipt)) []message.Action {
	if outcome, ok := c.relay.Outcome(cs.PublishID()); ok {
		done(message.NewDecidedReceipt(outcome))
		return nil
	}
	if err := c.checkLevel(cs.Level()); err != nil {
		done(message.NewUndecidedReceipt(message.ReceiptNotAppended, err))
		return nil
	}
	data, err := codec.EncodeChange(cs)
	if err != nil {
		done(message.NewUndecidedReceipt(message.ReceiptNotAppended, oops.In("publish.encode").Wrap(err)))
		return nil
	}
	return []message.Action{c.publisher.start(now, cs.PublishID(), data, done)}
}

// checkLevel refuses a level that a live member does not understand.
func (c *Core) checkLevel(level record.Schema) error {
	if level <= c.relay.Level() {
		return nil
	}
	behind := slices.DeleteFunc(slices.Clone(c.fleet.View().Members()), func(m member.Member) bool {
		return m.NewestSchema() >= level
	})
	if len(behind) == 0 {
		return nil
	}
	return oops.In("publish.level").Wrap(&LevelError{level: level, incompatible: behind})
}

// publisher follows the publishes of this node until their receipts.
type publisher struct {
	timeout   time.Duration
	lastToken uint64
	pending   []*pendingPublish
	appends   []appendCount // oldest first

	findOutcome func(x *pendingPublish, head record.Offset, outcome outcomeLookup) (record.Outcome, bool) // seam for tests
}

// outcomeLookup returns the decision on a publish, if it is known.
type outcomeLookup = func(record.PublishID) (record.Outcome, bool)

// appliedOutcome takes a decision from the fold alone: an entry in the log is not yet an accepted one.
func appliedOutcome(x *pendingPublish, _ record.Offset, outcome outcomeLookup) (record.Outcome, bool) {
	return outcome(x.id)
}

// pendingPublish is one publish under way.
type pendingPublish struct {
	id          record.PublishID
	token       uint64
	done        func(message.Receipt)
	deadline    time.Time
	offset      record.Offset // of the entry, if acknowledged
	acked       bool
	notAppended bool  // the log did not take the entry
	appendErr   error // what the append returned
}

// appendCount counts the appends of a publish that the log may have taken.
type appendCount struct {
	id    record.PublishID
	count int
}

// maxAppendCounts bounds the publishes remembered.
const maxAppendCounts = 1024

func newPublisher(wait time.Duration) publisher {
	return publisher{timeout: wait, findOutcome: appliedOutcome}
}

func (p *publisher) start(now time.Time, id record.PublishID, data []byte, done func(message.Receipt)) message.AppendLog {
	p.lastToken++
	p.pending = append(p.pending, &pendingPublish{id: id, token: p.lastToken, done: done, deadline: now.Add(p.timeout)})
	p.adjustAppendCount(id, 1)
	return message.NewAppendLog(message.StreamConfig, p.lastToken, data)
}

// adjustAppendCount returns how many appends of the publish the log may have taken.
func (p *publisher) adjustAppendCount(id record.PublishID, delta int) int {
	i := slices.IndexFunc(p.appends, func(a appendCount) bool { return a.id == id })
	if i < 0 {
		p.appends = append(p.appends, appendCount{id: id})
		if len(p.appends) > maxAppendCounts {
			p.appends = p.appends[1:]
		}
		i = len(p.appends) - 1
	}
	p.appends[i].count = max(p.appends[i].count+delta, 0)
	return p.appends[i].count
}

// receiveAppendResult takes the answer to an append. When the log did not take this entry but may have taken
// another one of the same publish, the fold is still to be watched.
func (p *publisher) receiveAppendResult(a message.AppendResult, notApplied func(error) bool) {
	i := slices.IndexFunc(p.pending, func(x *pendingPublish) bool { return x.token == a.Token() })
	if i < 0 {
		return
	}
	x := p.pending[i]
	x.appendErr = a.Err()
	if a.Err() == nil {
		x.acked, x.offset = true, a.Offset()
		return
	}
	if notApplied(a.Err()) {
		x.notAppended = p.adjustAppendCount(x.id, -1) == 0
	}
}

// deliverReceipts gives receipts to the publishes of which the end is known.
func (p *publisher) deliverReceipts(now time.Time, head record.Offset, outcome outcomeLookup) {
	var settled []func()
	p.pending = slices.DeleteFunc(p.pending, func(x *pendingPublish) bool {
		receipt, ok := p.receipt(x, now, head, outcome)
		if ok {
			settled = append(settled, func() { x.done(receipt) })
		}
		return ok
	})
	for _, tell := range settled {
		tell()
	}
}

func (p *publisher) receipt(x *pendingPublish, now time.Time, head record.Offset, outcome outcomeLookup) (message.Receipt, bool) {
	if o, ok := p.findOutcome(x, head, outcome); ok {
		return message.NewDecidedReceipt(o), true
	}
	if x.notAppended {
		return message.NewUndecidedReceipt(message.ReceiptNotAppended, oops.In("publish.append").Wrap(x.appendErr)), true
	}
	if x.acked && head > x.offset {
		return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.decide").Errorf("the decision on entry %d is no longer remembered", x.offset)), true
	}
	if now.Before(x.deadline) {
		return message.Receipt{}, false
	}
	if x.appendErr != nil {
		return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.append").Wrap(x.appendErr)), true
	}
	return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.wait").Errorf("no decision in time")), true
}
