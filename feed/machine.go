// Package feed distributes the operator's configuration document from the platform's store to every node. Two nodes
// in the store's region read it, a tree of nodes forwards it, and anti-entropy by version digests repairs what the tree
// missed. Each document replaces the previous one as a whole, so a node needs only the newest one. The package is a
// deterministic state machine: it takes events with their time and returns actions.
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

// Counts holds totals since the start of the machine.
type Counts struct {
	Reads        int // store reads that were started
	ReadFailures int // store reads that failed
	Applied      int // versions that this node applied
	Rejected     int // documents that could not be decompressed or decoded
	Requests     int // requests for a document sent to other nodes
	Outdated     int // documents read from the store at the start that were older than the version of another node
	StoreReturns int // times that the store was found to have returned from a copy without its last entries
}

// Machine holds the newest document and forwards it to other nodes. It is not safe for concurrent use; the routing
// tables that it returns are.
type Machine struct {
	settings    Settings
	rnd         *rand.Rand
	now         time.Time
	startedAt   time.Time
	view        *member.View
	order       *ordering
	orderedView *member.View // of order

	table         *routing.Table
	document      []byte         // of table, until it is compressed
	compressed    []byte         // document of table as it is sent to other nodes; nil until it is needed
	source        netip.AddrPort // node that sent the document, or the zero value if it was read from the store
	confirmedAt   time.Time      // when the store was last known to hold no newer version
	documentError error          // why the last rejected document could not be read, nil after a newer one was applied

	reader                storeReader
	startFraction         float64                // in [0, 1), drawn once; places the node among those that start at the same time
	announced             []netip.AddrPort       // other nodes that recently wrote their addresses to the store
	announcedAt           time.Time              // when the first of these were known
	parkedRequests        []netip.AddrPort       // nodes that requested a document before this node held one
	roundNumber           uint64                 // of the last round that this node started as a reader
	latestRounds          map[uint64]uint64      // newest round received from each reader, by its position
	lastRoundReader       uint64                 // position of the reader whose round was received last
	preferredReaderSeenAt time.Time              // when a round of a reader with precedence was last received
	startAnnounced        map[netip.AddrPort]int // times that the first document was announced to a node; nil if it is not
	pending               pendingRequest
	answers               answerLimit
	counts                Counts
	actions               []message.Action
}

// pendingRequest describes the newest version that the node knows of and does not hold.
type pendingRequest struct {
	version    record.Version
	holder     netip.AddrPort   // to ask next
	holders    []netip.AddrPort // nodes that announced the version
	nextSendAt time.Time
	knownAt    time.Time // when the first holder announced it
}

// New returns a machine that holds no document. It draws all random numbers from rnd.
func New(settings Settings, rnd *rand.Rand) *Machine {
	return &Machine{
		settings: settings.withDefaults(), rnd: rnd, latestRounds: make(map[uint64]uint64), answers: newAnswerLimit(settings.LinkBytesPerSecond),
		startFraction: rnd.Float64(),
	}
}

// Table returns the active routing table, or nil before the first one.
func (m *Machine) Table() *routing.Table { return m.table }

// Version returns the active version, or zero before the first one.
func (m *Machine) Version() record.Version {
	if m.table == nil {
		return 0
	}
	return m.table.Version()
}

// ConfirmedAt returns when the store was last known to hold no newer version; zero if never.
func (m *Machine) ConfirmedAt() time.Time { return m.confirmedAt }

// Wanted returns the newest version that another node is known to hold, or 0 if there is none that the node lacks.
func (m *Machine) Wanted() record.Version {
	if m.pending.version <= m.Version() {
		return 0
	}
	return m.pending.version
}

// Source returns the node that sent the active version, or the zero value if it was read from the store.
func (m *Machine) Source() netip.AddrPort { return m.source }

// DocumentError returns why the last rejected document could not be read. It is nil after a newer document was applied.
func (m *Machine) DocumentError() error { return m.documentError }

// Counts returns the totals for metrics.
func (m *Machine) Counts() Counts { return m.counts }

// Tick starts the store reads and requests that are due.
func (m *Machine) Tick(now time.Time, view *member.View) []message.Action {
	m.advance(now, view)
	m.readIfDue()
	m.requestIfDue()
	m.announceAtStart()
	return m.takeActions()
}

// Receive handles a message from a peer. Of pings and acks it uses only the version in their digests.
func (m *Machine) Receive(now time.Time, view *member.View, env message.Envelope) []message.Action {
	m.advance(now, view)
	from := env.Sender().Peer()
	switch body := env.Body().(type) {
	case message.VersionNotice:
		m.receiveNotice(from, body)
	case message.Document:
		m.receiveDocument(from, body)
	case message.DocumentRequest:
		m.receiveRequest(from, body)
	case message.Ping:
		m.observeVersion(from, body.Digest().Version())
	case message.Ack:
		m.observeVersion(from, body.Digest().Version())
	}
	if m.table == nil {
		m.requestIfDue()
	}
	return m.takeActions()
}

func (m *Machine) advance(now time.Time, view *member.View) {
	if m.startedAt.IsZero() {
		m.startedAt, m.now = now, now
	}
	if elapsed := now.Sub(m.now); elapsed > 0 {
		m.answers.refill(elapsed)
		m.now = now
	}
	m.view = view
}

// ordering returns the order of the members of the current view. It is computed when it is needed, as a view may be replaced
// before that.
func (m *Machine) ordering() *ordering {
	if m.order == nil || m.orderedView != m.view {
		o := newOrdering(m.view, m.settings.Self)
		m.order, m.orderedView = &o, m.view
	}
	return m.order
}

// apply makes a document the active one if it is newer, and reports whether it was. compressed is the document as another
// node sent it, or nil if it was read from the store.
func (m *Machine) apply(data, compressed []byte, from netip.AddrPort) bool {
	table, err := m.settings.Decode(data)
	if err != nil {
		m.reject(err)
		return false
	}
	if table.Version() <= m.Version() {
		return false
	}
	m.table, m.document, m.compressed, m.source, m.documentError = table, data, compressed, from, nil
	if compressed != nil {
		m.document = nil
	}
	m.counts.Applied++
	m.answerParked()
	return true
}

// compressedDocument returns the active document as it is sent to other nodes. The first compression takes a node with a sixth
// of a core 50 ms, so it must not delay the routes.
func (m *Machine) compressedDocument() []byte {
	if m.compressed == nil {
		m.compressed, m.document = codec.Compress(m.document), nil
	}
	return m.compressed
}

func (m *Machine) reject(err error) {
	m.counts.Rejected++
	m.documentError = err
}

// confirm records that the store held no version newer than version at a time.
func (m *Machine) confirm(version record.Version, at time.Time) {
	if version >= m.Version() && at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

func (m *Machine) send(to netip.AddrPort, body message.PeerMessage) {
	m.actions = append(m.actions, message.NewSend(to, body))
}

func (m *Machine) takeActions() []message.Action {
	actions := m.actions
	m.actions = nil
	return actions
}
