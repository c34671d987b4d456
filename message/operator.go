package message

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// ReceiptState is what is known of the result of a publish.
type ReceiptState uint8

// States of a publish.
const (
	// ReceiptDecided: the fleet accepted or refused the change set, as the Outcome says.
	ReceiptDecided ReceiptState = iota + 1
	// ReceiptNotAppended: the entry is not in the log and will not appear in it later.
	ReceiptNotAppended
	// ReceiptUnknown: the entry may be in the log. The publish may be retried with the same publish ID.
	ReceiptUnknown
)

// Receipt answers a publish.
type Receipt struct {
	state   ReceiptState
	outcome record.Outcome
	err     error
}

// NewDecidedReceipt returns the receipt of a change set on which the fleet has decided.
func NewDecidedReceipt(outcome record.Outcome) Receipt {
	return Receipt{state: ReceiptDecided, outcome: outcome}
}

// NewUndecidedReceipt returns the receipt of a change set in state ReceiptNotAppended or ReceiptUnknown.
func NewUndecidedReceipt(state ReceiptState, err error) Receipt {
	return Receipt{state: state, err: err}
}

// State returns what is known of the result.
func (r Receipt) State() ReceiptState { return r.state }

// Outcome returns the decision. It is valid only if State returns ReceiptDecided.
func (r Receipt) Outcome() record.Outcome { return r.outcome }

// Err returns why there is no decision.
func (r Receipt) Err() error { return r.err }

// VersionCount counts the nodes that hold a version.
type VersionCount struct {
	version record.Version
	nodes   int
}

// NewVersionCount returns the count of nodes at a version.
func NewVersionCount(version record.Version, nodes int) VersionCount {
	return VersionCount{version: version, nodes: nodes}
}

// Version returns the version that the nodes hold.
func (v VersionCount) Version() record.Version { return v.version }

// Nodes returns how many nodes hold it.
func (v VersionCount) Nodes() int { return v.nodes }

// Laggard is a node that holds an older version than the newest one.
type Laggard struct {
	node    member.Key
	version record.Version
}

// NewLaggard returns a node that is behind, with the version that it holds.
func NewLaggard(node member.Key, version record.Version) Laggard {
	return Laggard{node: node, version: version}
}

// Node returns the node that is behind.
func (l Laggard) Node() member.Key { return l.node }

// Version returns the version that the node holds.
func (l Laggard) Version() record.Version { return l.version }

// Census counts the nodes of one region by the version that they hold.
type Census struct {
	region   member.Region
	counts   []VersionCount
	laggards []Laggard
	takenAt  time.Time
}

// NewCensus returns the census of a region taken at takenAt. laggards holds some of the nodes that are behind, not
// necessarily all. The census keeps the slices.
func NewCensus(region member.Region, counts []VersionCount, laggards []Laggard, takenAt time.Time) Census {
	return Census{region: region, counts: counts, laggards: laggards, takenAt: takenAt}
}

// Region returns the region whose nodes are counted.
func (c Census) Region() member.Region { return c.region }

// Counts returns the number of nodes per version, newest version first.
func (c Census) Counts() []VersionCount { return c.counts }

// Laggards returns some of the nodes that are behind.
func (c Census) Laggards() []Laggard { return c.laggards }

// TakenAt returns when the census was taken.
func (c Census) TakenAt() time.Time { return c.takenAt }

// Stage is a stage of a node's life cycle.
type Stage string

// Stages of a node's life cycle, in order.
const (
	// StageJoining: the node does not yet hold a configuration with which it may serve calls.
	StageJoining Stage = "joining"
	// StageServing: the node accepts calls.
	StageServing Stage = "serving"
	// StageDraining: the node refuses new calls and finishes those in flight.
	StageDraining Stage = "draining"
	// StageStopped: the node has left the fleet.
	StageStopped Stage = "stopped"
)

// Status is the state of a node and of the fleet as known to the node, for operators.
type Status struct {
	stage        Stage
	self         member.Member
	digest       Digest
	level        record.Schema
	logErr       error
	logSeenAt    time.Time
	roles        []string
	members      []member.Member
	census       []Census
	missingLevel record.Schema

	unconfirmed bool
	conflicts   int
	gap         Gap
}

// StatusFields holds the fields of a Status, for NewStatus.
type StatusFields struct {
	Stage        Stage           // stage of the node's life cycle
	Self         member.Member   // the node itself
	Digest       Digest          // how far the node has applied the configuration stream
	Level        record.Schema   // newest schema that the fleet accepts
	LogErr       error           // why the log cannot be read, nil if it can
	LogSeenAt    time.Time       // when the log was last known to be readable, by this node or a peer
	Roles        []string        // roles of the node, such as "log reader"
	Members      []member.Member // known members, dead ones included
	Census       []Census        // versions held by the nodes, per region
	MissingLevel record.Schema   // schema that this binary lacks to apply further entries, zero if none

	Unconfirmed bool // the node serves a configuration received from its peers without knowing the end of the log
	Conflicts   int  // digests, entries and checkpoints refused because they contradict what the node has applied
	Gap         Gap  // trimmed entries that the node has not applied
}

// NewStatus returns a status with the given fields. It keeps the slices.
func NewStatus(f StatusFields) Status {
	return Status{
		stage: f.Stage, self: f.Self, digest: f.Digest, level: f.Level, logErr: f.LogErr, logSeenAt: f.LogSeenAt,
		roles: f.Roles, members: f.Members, census: f.Census, missingLevel: f.MissingLevel,
		unconfirmed: f.Unconfirmed, conflicts: f.Conflicts, gap: f.Gap,
	}
}

// WithStage returns a copy with another stage.
func (s Status) WithStage(stage Stage) Status {
	s.stage = stage
	return s
}

// Stage returns the stage of the node's life cycle.
func (s Status) Stage() Stage { return s.stage }

// Self returns the node itself.
func (s Status) Self() member.Member { return s.self }

// Digest returns how far the node has applied the configuration stream.
func (s Status) Digest() Digest { return s.digest }

// Level returns the newest schema that the fleet accepts.
func (s Status) Level() record.Schema { return s.level }

// LogErr returns why the log cannot be read, or nil.
func (s Status) LogErr() error { return s.logErr }

// LogSeenAt returns when the log was last known to be readable, by this node or a peer. It is zero if never.
func (s Status) LogSeenAt() time.Time { return s.logSeenAt }

// Roles returns the roles of the node, such as "log reader".
func (s Status) Roles() []string { return s.roles }

// Members returns the known members, dead ones included.
func (s Status) Members() []member.Member { return s.members }

// Census returns the versions held by the nodes, per region.
func (s Status) Census() []Census { return s.census }

// MissingLevel returns the schema that this binary lacks to apply further entries, or zero.
func (s Status) MissingLevel() record.Schema { return s.missingLevel }

// Unconfirmed reports whether the node serves a configuration received from its peers without knowing the end of
// the log.
func (s Status) Unconfirmed() bool { return s.unconfirmed }

// Conflicts returns how many digests, entries and checkpoints the node refused because they contradict what it has
// applied.
func (s Status) Conflicts() int { return s.conflicts }

// Gap returns the trimmed entries that the node has not applied, or the zero Gap.
func (s Status) Gap() Gap { return s.gap }
