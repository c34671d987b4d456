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

// LevelError is the error of a change set that was not appended because it raises the schema level above what some live
// members understand.
type LevelError struct {
	level        record.Schema
	incompatible []member.Member
}

// Level returns the schema level of the change set.
func (e *LevelError) Level() record.Schema { return e.level }

// Incompatible returns the live members that do not understand the level. The slice must not be modified.
func (e *LevelError) Incompatible() []member.Member { return e.incompatible }

// Error implements error.
func (e *LevelError) Error() string {
	names := make([]string, len(e.incompatible))
	for i, m := range e.incompatible {
		names[i] = fmt.Sprintf("%s (schema %d)", m.Key().Peer(), m.NewestSchema())
	}
	return fmt.Sprintf("schema %d is not understood by %s", e.level, strings.Join(names, ", "))
}

// Publish appends a change set to the log. It calls done exactly once, within a call of a method of the Core: when the
// fleet has decided, when the change set was not appended, when the decision is no longer remembered, or when the
// publish times out.
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

// checkLevel returns a *LevelError if a live member does not understand the level.
func (c *Core) checkLevel(level record.Schema) error {
	if level <= c.relay.Level() {
		return nil
	}
	incompatible := slices.DeleteFunc(slices.Clone(c.fleet.View().Members()), func(m member.Member) bool {
		return m.NewestSchema() >= level
	})
	if len(incompatible) == 0 {
		return nil
	}
	return oops.In("publish.level").Wrap(&LevelError{level: level, incompatible: incompatible})
}

// publisher tracks the publishes of this node until their receipts are delivered.
type publisher struct {
	timeout   time.Duration
	lastToken uint64
	pending   []*pendingPublish
	appends   []appendCount // oldest first

	findOutcome func(pub *pendingPublish, head record.Offset, outcome outcomeLookup) (record.Outcome, bool) // replaced by tests
}

// outcomeLookup returns the decision on a publish, if it is known.
type outcomeLookup = func(record.PublishID) (record.Outcome, bool)

// appliedOutcome returns the decision that applying the log produced. An entry in the log does not count as accepted
// before it is applied.
func appliedOutcome(pub *pendingPublish, _ record.Offset, outcome outcomeLookup) (record.Outcome, bool) {
	return outcome(pub.id)
}

// pendingPublish is a publish whose receipt is not delivered yet.
type pendingPublish struct {
	id          record.PublishID
	token       uint64
	done        func(message.Receipt)
	deadline    time.Time
	offset      record.Offset // offset of the entry, valid if acked
	acked       bool
	notAppended bool  // no append of the publish can be in the log
	appendErr   error // result of the append
}

// appendCount counts the appends of a publish that the log may have taken.
type appendCount struct {
	id    record.PublishID
	count int
}

// maxAppendCounts limits the publishes whose appends are counted. The oldest counts are dropped first.
const maxAppendCounts = 1024

func newPublisher(timeout time.Duration) publisher {
	return publisher{timeout: timeout, findOutcome: appliedOutcome}
}

// start registers a publish and returns the append of its entry.
func (p *publisher) start(now time.Time, id record.PublishID, data []byte, done func(message.Receipt)) message.AppendLog {
	p.lastToken++
	p.pending = append(p.pending, &pendingPublish{id: id, token: p.lastToken, done: done, deadline: now.Add(p.timeout)})
	p.adjustAppendCount(id, 1)
	return message.NewAppendLog(message.StreamConfig, p.lastToken, data)
}

// adjustAppendCount adds delta to the number of appends of the publish that the log may have taken, and returns it.
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

// receiveAppendResult handles the result of an append. If the log did not take this entry but may have taken another
// one of the same publish, the publish stays pending, since the other entry may still be decided on.
func (p *publisher) receiveAppendResult(a message.AppendResult, notApplied func(error) bool) {
	i := slices.IndexFunc(p.pending, func(pub *pendingPublish) bool { return pub.token == a.Token() })
	if i < 0 {
		return
	}
	pub := p.pending[i]
	pub.appendErr = a.Err()
	if a.Err() == nil {
		pub.acked, pub.offset = true, a.Offset()
		return
	}
	if notApplied(a.Err()) {
		pub.notAppended = p.adjustAppendCount(pub.id, -1) == 0
	}
}

// deliverReceipts calls done for the publishes whose result is known or whose time is over. The calls follow the
// update of the pending publishes.
func (p *publisher) deliverReceipts(now time.Time, head record.Offset, outcome outcomeLookup) {
	var callbacks []func()
	p.pending = slices.DeleteFunc(p.pending, func(pub *pendingPublish) bool {
		receipt, ok := p.receipt(pub, now, head, outcome)
		if ok {
			callbacks = append(callbacks, func() { pub.done(receipt) })
		}
		return ok
	})
	for _, callback := range callbacks {
		callback()
	}
}

// receipt returns the receipt of a publish, and false if the publish is to stay pending.
func (p *publisher) receipt(pub *pendingPublish, now time.Time, head record.Offset, outcome outcomeLookup) (message.Receipt, bool) {
	if o, ok := p.findOutcome(pub, head, outcome); ok {
		return message.NewDecidedReceipt(o), true
	}
	if pub.notAppended {
		return message.NewUndecidedReceipt(message.ReceiptNotAppended, oops.In("publish.append").Wrap(pub.appendErr)), true
	}
	if pub.acked && head > pub.offset {
		return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.decide").Errorf("the decision on entry %d is no longer remembered", pub.offset)), true
	}
	if now.Before(pub.deadline) {
		return message.Receipt{}, false
	}
	if pub.appendErr != nil {
		return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.append").Wrap(pub.appendErr)), true
	}
	return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.wait").Errorf("no decision in time")), true
}
