package control

import (
	"errors"
	"slices"
	"time"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
)

var (
	errTestRefused = errors.New("refused, not applied")
	errTestOutage  = errors.New("log unavailable")
	errTestTrimmed = errors.New("trimmed")
)

const (
	testPage    = 100 // entries of one page at most
	testTimeout = 2 * time.Second
)

// testLog is the platform's log in the region logRegion.
type testLog struct {
	net     *network
	streams map[message.Stream]*testStream
	outage  bool
	refuse  bool
	lostAck float64 // share of appends that are applied but not acknowledged
	cut     func(n *testNode) bool
	keep    int           // entries kept per stream, 0 for all
	reads   int           // of the configuration
	appends int           // of the configuration
	slow    time.Duration // further time that a read takes
	isCut   bool          // some nodes are cut from the log
	upSince time.Time     // end of the last outage or cut

	appended func(e record.Entry) // sees every entry of the configuration
}

type testStream struct {
	first   record.Offset
	entries []record.Entry
	waiting []*testRead
}

type testRead struct {
	node *testNode
	read message.ReadLog
	done bool
}

func newTestLog(w *network) *testLog {
	return &testLog{
		net: w, streams: make(map[message.Stream]*testStream),
		cut: func(*testNode) bool { return false }, appended: func(record.Entry) {},
	}
}

func (l *testLog) stream(name message.Stream) *testStream {
	s, ok := l.streams[name]
	if !ok {
		s = &testStream{}
		l.streams[name] = s
	}
	return s
}

func (l *testLog) next() record.Offset { return l.stream(message.StreamConfig).next() }

func (s *testStream) next() record.Offset { return s.first + record.Offset(len(s.entries)) }

func (s *testStream) trim(keep int) {
	if drop := len(s.entries) - keep; keep >= 0 && drop > 0 {
		s.first += record.Offset(drop)
		s.entries = s.entries[drop:]
	}
}

func (l *testLog) delay(n *testNode) time.Duration {
	return l.net.delay(n.place, member.NewPlace(logRegion, ""))
}

func (l *testLog) unreachable(n *testNode) bool { return l.outage || l.cut(n) }

func (l *testLog) read(n *testNode, a message.ReadLog) {
	if a.Stream() == message.StreamConfig {
		l.reads++
	}
	if l.unreachable(n) {
		l.fail(n, a)
		return
	}
	r := &testRead{node: n, read: a}
	l.net.after(l.delay(n), func() { l.serve(r) })
}

func (l *testLog) fail(n *testNode, a message.ReadLog) {
	n.event(testTimeout, func() []message.Action {
		return n.core.LogPage(l.net.now, message.NewLogPage(a.Stream(), 0, 0, nil, errTestOutage))
	})
}

func (l *testLog) serve(r *testRead) {
	s := l.stream(r.read.Stream())
	if r.read.StartOffset() < s.next() || r.read.MaxWait() == 0 {
		l.reply(r)
		return
	}
	s.waiting = append(s.waiting, r)
	l.net.after(r.read.MaxWait(), func() { l.reply(r) })
}

func (l *testLog) reply(r *testRead) {
	if r.done {
		return
	}
	r.done = true
	if l.unreachable(r.node) {
		l.fail(r.node, r.read)
		return
	}
	page := l.stream(r.read.Stream()).page(r.read)
	r.node.event(l.delay(r.node)+l.slow, func() []message.Action { return r.node.core.LogPage(l.net.now, page) })
}

func (s *testStream) page(r message.ReadLog) message.LogPage {
	if r.StartOffset() < s.first {
		return message.NewLogPage(r.Stream(), s.first, s.next(), nil, errTestTrimmed)
	}
	var entries []record.Entry
	if r.StartOffset() < s.next() {
		entries = s.entries[r.StartOffset()-s.first:]
		entries = entries[:min(len(entries), testPage)]
	}
	return message.NewLogPage(r.Stream(), s.first, s.next(), entries, nil)
}

func (l *testLog) append(n *testNode, a message.AppendLog) {
	if a.Stream() == message.StreamConfig {
		l.appends++
	}
	answer := func(d time.Duration, offset record.Offset, err error) {
		n.event(d, func() []message.Action {
			return n.core.LogAppended(l.net.now, message.NewAppendResult(a.Stream(), a.Token(), offset, err))
		})
	}
	if l.unreachable(n) {
		answer(testTimeout, 0, errTestOutage)
		return
	}
	if l.refuse {
		answer(l.delay(n), 0, errTestRefused)
		return
	}
	l.net.after(l.delay(n), func() {
		offset := l.put(a.Stream(), a.Data())
		if l.lostAck > 0 && l.net.rnd.Float64() < l.lostAck {
			answer(testTimeout, 0, errTestOutage)
			return
		}
		answer(l.delay(n), offset, nil)
	})
}

// put appends an entry and wakes the readers.
func (l *testLog) put(name message.Stream, data []byte) record.Offset {
	s := l.stream(name)
	offset := s.next()
	s.entries = append(s.entries, record.NewEntry(offset, data))
	if name == message.StreamConfig {
		l.appended(s.entries[len(s.entries)-1])
	}
	if l.keep > 0 {
		s.trim(l.keep)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		l.reply(r)
	}
	return offset
}

// up ends an outage.
func (l *testLog) up() {
	if l.outage {
		l.upSince = l.net.now
	}
	l.outage = false
}

// tooSlow is the time that reads may take until what they say is too old to confirm a node that joins.
const tooSlow = 2 * time.Second

func (l *testLog) setSlow(d time.Duration) {
	if l.slow > tooSlow && d <= tooSlow {
		l.upSince = l.net.now
	}
	l.slow = d
}

// reconnect ends all cuts between the log and nodes.
func (l *testLog) reconnect() {
	if l.isCut {
		l.upSince = l.net.now
	}
	l.isCut = false
	l.cut = func(*testNode) bool { return false }
}

// trimCovered drops the entries that the newest whole checkpoint covers.
func (l *testLog) trimCovered() {
	s := l.stream(message.StreamConfig)
	for _, e := range slices.Backward(s.entries) {
		item, err := codec.Decode(e.Data())
		if err != nil {
			continue
		}
		if c, ok := item.Chunk(); ok && c.Count() == 1 && c.Head() > s.first {
			s.trim(int(s.next() - c.Head()))
			return
		}
	}
}
