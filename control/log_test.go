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
	testPageEntries = 100 // maximum entries of a page
	testTimeout     = 2 * time.Second
)

// testLog simulates the platform's log, which is in the region logRegion.
type testLog struct {
	net           *network
	streams       map[message.Stream]*testStream
	outage        bool
	refuseAppends bool
	ackLossRate   float64 // share of appends that are stored but not acknowledged
	blocked       func(n *testNode) bool
	retain        int           // entries kept per stream, 0 for all
	configReads   int           // reads of the configuration stream
	configAppends int           // appends to the configuration stream
	readDelay     time.Duration // additional time that a read takes
	someBlocked   bool          // some nodes cannot reach the log
	healthySince  time.Time     // end of the last outage, partition or period of slow reads

	onAppend func(e record.Entry) // called for every entry of the configuration stream
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
		blocked: func(*testNode) bool { return false }, onAppend: func(record.Entry) {},
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

func (l *testLog) end() record.Offset { return l.stream(message.StreamConfig).end() }

func (s *testStream) end() record.Offset { return s.first + record.Offset(len(s.entries)) }

// trim drops all but the newest entries.
func (s *testStream) trim(keep int) {
	if drop := len(s.entries) - keep; keep >= 0 && drop > 0 {
		s.first += record.Offset(drop)
		s.entries = s.entries[drop:]
	}
}

func (l *testLog) delay(n *testNode) time.Duration {
	return l.net.delay(n.place, member.NewPlace(logRegion, ""))
}

func (l *testLog) unreachable(n *testNode) bool { return l.outage || l.blocked(n) }

func (l *testLog) read(n *testNode, a message.ReadLog) {
	if a.Stream() == message.StreamConfig {
		l.configReads++
	}
	if l.unreachable(n) {
		l.failRead(n, a)
		return
	}
	r := &testRead{node: n, read: a}
	l.net.after(l.delay(n), func() { l.serve(r) })
}

func (l *testLog) failRead(n *testNode, a message.ReadLog) {
	n.event(testTimeout, func() []message.Action {
		return n.core.ReceiveLogPage(l.net.now, message.NewLogPage(a.Stream(), 0, 0, nil, errTestOutage))
	})
}

func (l *testLog) serve(r *testRead) {
	s := l.stream(r.read.Stream())
	if r.read.StartOffset() < s.end() || r.read.MaxWait() == 0 {
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
		l.failRead(r.node, r.read)
		return
	}
	page := l.stream(r.read.Stream()).page(r.read)
	r.node.event(l.delay(r.node)+l.readDelay, func() []message.Action { return r.node.core.ReceiveLogPage(l.net.now, page) })
}

func (s *testStream) page(r message.ReadLog) message.LogPage {
	if r.StartOffset() < s.first {
		return message.NewLogPage(r.Stream(), s.first, s.end(), nil, errTestTrimmed)
	}
	var entries []record.Entry
	if r.StartOffset() < s.end() {
		entries = s.entries[r.StartOffset()-s.first:]
		entries = entries[:min(len(entries), testPageEntries)]
	}
	return message.NewLogPage(r.Stream(), s.first, s.end(), entries, nil)
}

func (l *testLog) append(n *testNode, a message.AppendLog) {
	if a.Stream() == message.StreamConfig {
		l.configAppends++
	}
	answer := func(d time.Duration, offset record.Offset, err error) {
		n.event(d, func() []message.Action {
			return n.core.ReceiveAppendResult(l.net.now, message.NewAppendResult(a.Stream(), a.Token(), offset, err))
		})
	}
	if l.unreachable(n) {
		answer(testTimeout, 0, errTestOutage)
		return
	}
	if l.refuseAppends {
		answer(l.delay(n), 0, errTestRefused)
		return
	}
	l.net.after(l.delay(n), func() {
		offset := l.appendEntry(a.Stream(), a.Data())
		if l.ackLossRate > 0 && l.net.rnd.Float64() < l.ackLossRate {
			answer(testTimeout, 0, errTestOutage)
			return
		}
		answer(l.delay(n), offset, nil)
	})
}

// appendEntry appends an entry and answers the reads that wait for it.
func (l *testLog) appendEntry(name message.Stream, data []byte) record.Offset {
	s := l.stream(name)
	offset := s.end()
	s.entries = append(s.entries, record.NewEntry(offset, data))
	if name == message.StreamConfig {
		l.onAppend(s.entries[len(s.entries)-1])
	}
	if l.retain > 0 {
		s.trim(l.retain)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		l.reply(r)
	}
	return offset
}

func (l *testLog) endOutage() {
	if l.outage {
		l.healthySince = l.net.now
	}
	l.outage = false
}

// maxConfirmingReadDelay is the longest read delay at which a read is recent enough for a joining node to confirm the
// end of the log.
const maxConfirmingReadDelay = 2 * time.Second

func (l *testLog) setReadDelay(d time.Duration) {
	if l.readDelay > maxConfirmingReadDelay && d <= maxConfirmingReadDelay {
		l.healthySince = l.net.now
	}
	l.readDelay = d
}

// unblock lets all nodes reach the log.
func (l *testLog) unblock() {
	if l.someBlocked {
		l.healthySince = l.net.now
	}
	l.someBlocked = false
	l.blocked = func(*testNode) bool { return false }
}

// trimCovered drops the entries covered by the newest checkpoint that consists of a single chunk.
func (l *testLog) trimCovered() {
	s := l.stream(message.StreamConfig)
	for _, e := range slices.Backward(s.entries) {
		item, err := codec.Decode(e.Data())
		if err != nil {
			continue
		}
		if c, ok := item.Chunk(); ok && c.Count() == 1 && c.Head() > s.first {
			s.trim(int(s.end() - c.Head()))
			return
		}
	}
}
