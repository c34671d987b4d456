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
	level  record.Schema
	behind []member.Member
}

// Level returns the level that the change set asks for.
func (e *LevelError) Level() record.Schema { return e.level }

// Behind returns the members that do not understand it. The caller must not change it.
func (e *LevelError) Behind() []member.Member { return e.behind }

// Error implements error.
func (e *LevelError) Error() string {
	names := make([]string, len(e.behind))
	for i, m := range e.behind {
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
	return []message.Action{c.publisher.begin(now, cs.PublishID(), data, done)}
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
	return oops.In("publish.level").Wrap(&LevelError{level: level, behind: behind})
}

// publisher follows the publishes of this node until their receipts.
type publisher struct {
	wait    time.Duration
	token   uint64
	pending []*publishing
	tried   []attempt // oldest first

	decide func(x *publishing, head record.Offset, outcome outcomes) (record.Outcome, bool) // seam for tests
}

// outcomes returns the decision on a publish, if it is known.
type outcomes = func(record.PublishID) (record.Outcome, bool)

// folded takes a decision from the fold alone: an entry in the log is not yet an accepted one.
func folded(x *publishing, _ record.Offset, outcome outcomes) (record.Outcome, bool) {
	return outcome(x.id)
}

// publishing is one publish under way.
type publishing struct {
	id       record.PublishID
	token    uint64
	done     func(message.Receipt)
	deadline time.Time
	offset   record.Offset // of the entry, if acknowledged
	acked    bool
	refused  bool  // the log did not take the entry
	err      error // what the append returned
}

// attempt counts the appends of a publish that the log may have taken.
type attempt struct {
	id    record.PublishID
	count int
}

// maxAttempts bounds the publishes remembered.
const maxAttempts = 1024

func newPublisher(wait time.Duration) publisher { return publisher{wait: wait, decide: folded} }

func (p *publisher) begin(now time.Time, id record.PublishID, data []byte, done func(message.Receipt)) message.AppendLog {
	p.token++
	p.pending = append(p.pending, &publishing{id: id, token: p.token, done: done, deadline: now.Add(p.wait)})
	p.countAttempt(id, 1)
	return message.NewAppendLog(message.StreamConfig, p.token, data)
}

// countAttempt returns how many appends of the publish the log may have taken.
func (p *publisher) countAttempt(id record.PublishID, change int) int {
	i := slices.IndexFunc(p.tried, func(a attempt) bool { return a.id == id })
	if i < 0 {
		p.tried = append(p.tried, attempt{id: id})
		if len(p.tried) > maxAttempts {
			p.tried = p.tried[1:]
		}
		i = len(p.tried) - 1
	}
	p.tried[i].count = max(p.tried[i].count+change, 0)
	return p.tried[i].count
}

// appended takes the answer to an append. When the log did not take this entry but may have taken
// another one of the same publish, the fold is still to be watched.
func (p *publisher) appended(a message.AppendResult, notApplied func(error) bool) {
	i := slices.IndexFunc(p.pending, func(x *publishing) bool { return x.token == a.Token() })
	if i < 0 {
		return
	}
	x := p.pending[i]
	x.err = a.Err()
	if a.Err() == nil {
		x.acked, x.offset = true, a.Offset()
		return
	}
	if notApplied(a.Err()) {
		x.refused = p.countAttempt(x.id, -1) == 0
	}
}

// settle gives receipts to the publishes of which the end is known.
func (p *publisher) settle(now time.Time, head record.Offset, outcome outcomes) {
	var settled []func()
	p.pending = slices.DeleteFunc(p.pending, func(x *publishing) bool {
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

func (p *publisher) receipt(x *publishing, now time.Time, head record.Offset, outcome outcomes) (message.Receipt, bool) {
	if o, ok := p.decide(x, head, outcome); ok {
		return message.NewDecidedReceipt(o), true
	}
	if x.refused {
		return message.NewUndecidedReceipt(message.ReceiptNotAppended, oops.In("publish.append").Wrap(x.err)), true
	}
	if x.acked && head > x.offset {
		return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.decide").Errorf("the decision on entry %d is no longer remembered", x.offset)), true
	}
	if now.Before(x.deadline) {
		return message.Receipt{}, false
	}
	if x.err != nil {
		return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.append").Wrap(x.err)), true
	}
	return message.NewUndecidedReceipt(message.ReceiptUnknown, oops.In("publish.wait").Errorf("no decision in time")), true
}
