package message

import (
	"time"

	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/record"
)

// ReceiptState says what is known of a publish.
type ReceiptState uint8

// States of a publish.
const (
	// ReceiptDecided: the fleet accepted or refused the change set; the Outcome says which.
	ReceiptDecided ReceiptState = iota + 1
	// ReceiptNotAppended: the log did not take the entry, and it never will.
	ReceiptNotAppended
	// ReceiptUnknown: the entry may be in the log. The same publish ID may be tried again.
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

// State returns what is known.
func (r Receipt) State() ReceiptState { return r.state }

// Outcome returns the decision if State is ReceiptDecided.
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

// Laggard is a node that holds less than the newest version.
type Laggard struct {
	node    member.Key
	version record.Version
}

// NewLaggard returns a node behind, with the version that it holds.
func NewLaggard(node member.Key, version record.Version) Laggard {
	return Laggard{node: node, version: version}
}

// Node returns the node that is behind.
func (l Laggard) Node() member.Key { return l.node }

// Version returns the version that the node holds.
func (l Laggard) Version() record.Version { return l.version }

// Census says which versions the nodes of one region hold.
type Census struct {
	region   member.Region
	counts   []VersionCount
	laggards []Laggard
	takenAt  time.Time
}

// NewCensus returns the census of a region taken at a time. Laggards names some of the nodes that are
// behind, not all. The census keeps the slices.
func NewCensus(region member.Region, counts []VersionCount, laggards []Laggard, at time.Time) Census {
	return Census{region: region, counts: counts, laggards: laggards, takenAt: at}
}

// Region returns the region counted.
func (c Census) Region() member.Region { return c.region }

// Counts returns the number of nodes per version, newest version first.
func (c Census) Counts() []VersionCount { return c.counts }

// Laggards returns some of the nodes that are behind.
func (c Census) Laggards() []Laggard { return c.laggards }

// TakenAt returns when the census was taken.
func (c Census) TakenAt() time.Time { return c.takenAt }

// Stage is the stage of a node's life.
type Stage string

// Stages of a node's life.
const (
	// StageJoining: the node does not yet hold a configuration that it may serve from.
	StageJoining Stage = "joining"
	// StageServing: the node takes calls.
	StageServing Stage = "serving"
	// StageDraining: the node refuses new calls and finishes those in flight.
	StageDraining Stage = "draining"
	// StageStopped: the node has left the fleet.
	StageStopped Stage = "stopped"
)

// Status is what a node tells an operator about itself and the fleet.
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

// StatusFields are the parts of a Status, for NewStatus.
type StatusFields struct {
	Stage        Stage           // stage of the node's life
	Self         member.Member   // the node itself
	Digest       Digest          // configuration held
	Level        record.Schema   // newest schema that the fleet accepts
	LogErr       error           // why the log could not be read last, nil if it could
	LogSeenAt    time.Time       // when the log, or a peer that reads it, was heard of last
	Roles        []string        // roles that the node takes, such as "log reader"
	Members      []member.Member // members known, dead ones included
	Census       []Census        // versions held, per region
	MissingLevel record.Schema   // schema that this binary lacks to go on folding, zero if none

	Unconfirmed bool // the node serves what its peers offered, without having heard where the log ends
	Conflicts   int  // contents refused because they contradict what the node has folded
	Gap         Gap  // trimmed entries that the node lacks
}

// NewStatus returns a status of those parts. It keeps the slices.
func NewStatus(f StatusFields) Status {
	return Status{
		stage: f.Stage, self: f.Self, digest: f.Digest, level: f.Level, logErr: f.LogErr, logSeenAt: f.LogSeenAt,
		roles: f.Roles, members: f.Members, census: f.Census, missingLevel: f.MissingLevel,
		unconfirmed: f.Unconfirmed, conflicts: f.Conflicts, gap: f.Gap,
	}
}

// WithStage returns a copy at another stage.
func (s Status) WithStage(stage Stage) Status {
	s.stage = stage
	return s
}

// Stage returns the stage of the node's life.
func (s Status) Stage() Stage { return s.stage }

// Self returns the node itself.
func (s Status) Self() member.Member { return s.self }

// Digest returns the configuration held.
func (s Status) Digest() Digest { return s.digest }

// Level returns the newest schema that the fleet accepts.
func (s Status) Level() record.Schema { return s.level }

// LogErr returns why the log could not be read last, or nil.
func (s Status) LogErr() error { return s.logErr }

// LogSeenAt returns when the log, or a peer that reads it, was heard of last.
func (s Status) LogSeenAt() time.Time { return s.logSeenAt }

// Roles returns the roles that the node takes.
func (s Status) Roles() []string { return s.roles }

// Members returns the members known, dead ones included.
func (s Status) Members() []member.Member { return s.members }

// Census returns the versions held per region.
func (s Status) Census() []Census { return s.census }

// MissingLevel returns the schema that this binary lacks, or zero.
func (s Status) MissingLevel() record.Schema { return s.missingLevel }

// Unconfirmed tells whether the node serves what its peers offered, without having heard where the log
// ends.
func (s Status) Unconfirmed() bool { return s.unconfirmed }

// Conflicts returns how many contents the node refused because they contradict what it has folded.
func (s Status) Conflicts() int { return s.conflicts }

// Gap returns the trimmed entries that the node lacks, or the zero Gap.
func (s Status) Gap() Gap { return s.gap }
