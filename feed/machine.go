// Package feed brings the operator's document from the platform's store to every node. Two nodes near the store
// read it, a tree of nodes passes it on, and requests that follow digests repair what the tree missed. Whole
// documents replace each other, so a node needs no more than the newest one. It is a deterministic state
// machine: events go in with the time, actions come out.
package feed

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/record"
	"github.com/bambooknot/bambooknot/routing"
)

// Counts are totals since the start of the machine.
type Counts struct {
	Reads        int // reads of the store ordered
	ReadFailures int // reads that failed
	Applied      int // versions that came into force here
	Rejected     int // documents that could not be read
	Requests     int // requests to other nodes
}

// Machine holds the newest document and spreads it. It is not safe for concurrent use; Tables are.
type Machine struct {
	settings Settings
	rnd      *rand.Rand
	now      time.Time
	started  time.Time
	view     *member.View
	order    ordering

	table  *routing.Table
	packed []byte         // the document, compressed
	source netip.AddrPort // node that sent the document, or none if it was read from the store
	proven time.Time
	fault  error // why the newest document could not be read, or nil

	reader   reader
	luck     float64 // drawn once; when the node's turn comes among those that start
	starters int     // nodes that have lately written their address to the store
	round    uint64
	rounds   map[uint64]uint64 // newest round seen of each reader
	leading  time.Time         // when a round of a better placed reader was last heard
	want     want
	tokens   float64 // documents that may be sent in answers now
	counts   Counts
	out      []message.Action
}

// want is a version that the node knows of and does not hold.
type want struct {
	version record.Version
	from    netip.AddrPort
	due     time.Time
}

// New returns a machine that holds nothing. Random numbers come from rnd alone.
func New(settings Settings, rnd *rand.Rand) *Machine {
	return &Machine{
		settings: settings.withDefaults(), rnd: rnd, rounds: make(map[uint64]uint64), tokens: documentsPerSecond,
		luck: rnd.Float64(),
	}
}

// Table returns the version in force, or nil before the first one.
func (m *Machine) Table() *routing.Table { return m.table }

// Version returns the version in force, or zero.
func (m *Machine) Version() record.Version {
	if m.table == nil {
		return 0
	}
	return m.table.Version()
}

// ConfirmedAt returns when the store was last known to hold no newer version; zero if never.
func (m *Machine) ConfirmedAt() time.Time { return m.proven }

// Source returns the node that sent the version in force, or none if it was read from the store.
func (m *Machine) Source() netip.AddrPort { return m.source }

// DocumentError returns why the newest document could not be read, or nil.
func (m *Machine) DocumentError() error { return m.fault }

// Counts returns totals for metrics.
func (m *Machine) Counts() Counts { return m.counts }

// Tick does what is due.
func (m *Machine) Tick(now time.Time, view *member.View) []message.Action {
	m.advance(now, view)
	m.decideReading()
	m.request()
	return m.flush()
}

// Receive takes a peer message in. Messages of other packages only tell which version their senders hold.
func (m *Machine) Receive(now time.Time, view *member.View, env message.Envelope) []message.Action {
	m.advance(now, view)
	from := env.From().Peer()
	switch body := env.Body().(type) {
	case message.News:
		m.receiveNews(from, body)
	case message.Document:
		m.receiveDocument(from, body)
	case message.Want:
		m.receiveWant(from, body)
	case message.Ping:
		m.hear(from, body.Digest().Version())
	case message.Ack:
		m.hear(from, body.Digest().Version())
	}
	return m.flush()
}

func (m *Machine) advance(now time.Time, view *member.View) {
	if m.started.IsZero() {
		m.started, m.now = now, now
	}
	if gap := now.Sub(m.now); gap > 0 {
		m.tokens = min(m.tokens+gap.Seconds()*documentsPerSecond, documentsPerSecond)
		m.now = now
	}
	if view != m.view {
		m.view = view
		m.order = newOrdering(view, m.settings.Self)
	}
}

// adopt brings a document into force if it is newer than the one held, and tells whether it was. packed is the document as
// another node sent it, or nil if it was read from the store.
func (m *Machine) adopt(data, packed []byte, from netip.AddrPort) bool {
	table, err := m.settings.Decode(data)
	if err != nil {
		m.refuse(err)
		return false
	}
	if table.Version() <= m.Version() {
		return false
	}
	if packed == nil {
		packed = codec.Compress(data)
	}
	m.table, m.packed, m.source, m.fault = table, packed, from, nil
	m.counts.Applied++
	return true
}

func (m *Machine) refuse(err error) {
	m.counts.Rejected++
	m.fault = err
}

// prove notes that the store held no newer version at a time.
func (m *Machine) prove(version record.Version, at time.Time) {
	if version >= m.Version() && at.After(m.proven) {
		m.proven = at
	}
}

func (m *Machine) send(to netip.AddrPort, body message.Peer) {
	m.out = append(m.out, message.NewSend(to, body))
}

func (m *Machine) flush() []message.Action {
	out := m.out
	m.out = nil
	return out
}
