package feed

import (
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

// reader is the state of a node as reader of the store.
type reader struct {
	waiting  bool // a read is under way
	ordered  time.Time
	held     bool          // the store may hold the read under way open
	known    bool          // next holds
	next     record.Offset // offset to read on from
	after    time.Time     // no read is ordered before
	failures int           // reads that failed in a row
	fastest  time.Duration // shortest read that the store did not hold open
	measured bool
	acting   bool // reads though others are placed better, as they were silent
}

// near tells whether the store stands in the node's region.
func (r reader) near() bool { return r.measured && r.fastest < nearStore }

// decideReading orders a read if it is the node's turn.
func (m *Machine) decideReading() {
	r := &m.reader
	if r.waiting || m.now.Before(r.after) {
		return
	}
	switch {
	case m.mayLead() || r.acting:
		m.read(m.settings.LongPollTimeout)
	case m.silent():
		m.read(0)
	}
}

// mayLead tells whether the node is one of the readers. One that does not know whether it is near the store finds
// out by its first read.
func (m *Machine) mayLead() bool {
	if m.order.rank >= m.settings.Readers {
		return false
	}
	if !m.reader.measured {
		return m.table != nil
	}
	return m.reader.near()
}

// silent tells whether no news of a successful read has come for so long that the node reads by itself.
func (m *Machine) silent() bool {
	if m.table == nil {
		delay := startDelay(m.reader.near(), m.luck, m.crowd())
		if !m.reader.near() && len(m.order.all) == 0 {
			delay = max(delay, farAloneWait)
		}
		return m.now.Sub(m.started) >= m.settings.StartDelay+delay
	}
	return m.now.Sub(m.proven) >= m.settings.SilenceTimeout+silenceDelay(m.order.rank)
}

// crowd returns how many nodes there are as far as the node knows.
func (m *Machine) crowd() int { return max(len(m.order.all)+1, m.starters) }

// turn returns the node's rank among the nodes of its region, or one drawn at random while it knows few of the nodes that
// have started.
func (m *Machine) turn() int {
	if len(m.order.all)+1 >= m.starters/2 {
		return m.order.rank
	}
	return max(m.order.rank, int(m.luck*float64(m.starters)))
}

// ObserveStore tells the machine how long a short read of another stream took, and how many nodes have lately written
// their address there.
func (m *Machine) ObserveStore(took time.Duration, starters int) {
	m.reader.measure(took)
	m.starters = max(m.starters, starters)
}

// measure notes how long a read took that the store did not hold open.
func (r *reader) measure(took time.Duration) {
	if !r.measured || took < r.fastest {
		r.fastest, r.measured = took, true
	}
}

func (m *Machine) read(wait time.Duration) {
	r := &m.reader
	r.waiting, r.ordered = true, m.now
	m.counts.Reads++
	if !r.known || m.table == nil {
		r.held = false
		m.out = append(m.out, message.NewReadNewest())
		return
	}
	if !r.measured {
		wait = 0
	}
	r.held = wait > 0
	m.out = append(m.out, message.NewReadNext(r.next, wait))
}

// ReceivePage takes the answer to a ReadDocument. trimmed tells whether its error says that entries are no longer
// kept.
func (m *Machine) ReceivePage(now time.Time, page message.DocumentPage, trimmed bool) []message.Action {
	m.advance(now, m.view)
	r := &m.reader
	r.waiting = false
	if page.Err() != nil {
		m.readFailed(trimmed)
		return m.flush()
	}
	if !r.held {
		r.measure(m.now.Sub(r.ordered))
	}
	r.failures, r.known, r.next = 0, true, page.Next()
	r.after = m.now
	changed := page.Data() != nil && m.adopt(page.Data(), nil, netip.AddrPort{})
	if page.Data() != nil || m.table == nil {
		r.after = m.now.Add(m.settings.MinReadInterval)
	}
	m.proven = m.now
	r.acting = m.mayAct()
	if changed || m.leads() {
		m.announce(changed)
	}
	return m.flush()
}

func (m *Machine) readFailed(trimmed bool) {
	r := &m.reader
	m.counts.ReadFailures++
	r.acting = false
	if trimmed {
		r.known, r.after = false, m.now
		return
	}
	pause := retryPause(r.failures, m.turn())
	r.failures++
	r.after = m.now.Add(pause/2 + time.Duration(m.rnd.Int64N(int64(pause))))
}

// mayAct tells whether the node goes on reading until it hears of a reader that is placed better.
func (m *Machine) mayAct() bool {
	return m.now.Sub(m.leading) >= m.settings.SilenceTimeout
}

// leads tells whether the node tells of reads that brought nothing: no better placed one does.
func (m *Machine) leads() bool {
	return (m.reader.acting || m.mayLead()) && m.now.Sub(m.leading) >= m.settings.SilenceTimeout
}
