package control

import (
	"math/rand/v2"
	"time"

	"github.com/bambooknot/bambooknot/fleet"
	"github.com/bambooknot/bambooknot/member"
	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/quarantine"
)

const (
	// quarantineSyncInterval is the least time between two repairs of a difference between records of crashes.
	quarantineSyncInterval = 200 * time.Millisecond
	// maxQuarantineSync is the number of messages that one repair sends.
	maxQuarantineSync = 4
	// quarantineForwardAge is the age from which a report that is new to a node is passed on, as it reached the node by a
	// repair, after a restart or a partition, and not from where it was made.
	quarantineForwardAge = 500 * time.Millisecond
	// quarantineForwardFanout is the number of members to which a report is passed on.
	quarantineForwardFanout = 4
	// quarantineExpiryPeriod is the time between two checks for crashes that no longer count.
	quarantineExpiryPeriod = time.Second
)

// quarantineExchange is a node's record of requests that crash servers, and its exchange with the other nodes. Reports go to
// all members directly. Pings and acks carry a hash of the record, and nodes whose hashes differ send each other theirs.
type quarantineExchange struct {
	table        *quarantine.Table
	fleet        *fleet.Machine
	rnd          *rand.Rand
	nextSyncAt   time.Time
	syncedUpTo   int // number of reports sent by the last repair that could not send all
	nextExpiryAt time.Time
}

func newQuarantineExchange(f *fleet.Machine, rnd *rand.Rand) *quarantineExchange {
	return &quarantineExchange{table: quarantine.NewTable(), fleet: f, rnd: rnd}
}

// ReportCrash handles the end of the backend server beside the node.
func (x *quarantineExchange) ReportCrash(now time.Time, crash message.ServerCrash) []message.Action {
	var crashes []quarantine.Crash
	for _, request := range crash.Requests() {
		if report := quarantine.NewCrash(request, crash.Server(), now); x.table.RecordCrash(now, report) {
			crashes = append(crashes, report)
		}
	}
	return x.send(now, x.otherMembers(), crashes, nil)
}

// ClearRequest handles the proof that a request does not crash servers.
func (x *quarantineExchange) ClearRequest(now time.Time, cleared message.RequestCleared) []message.Action {
	crashes, trials := x.table.Refute(now, cleared.Request())
	return x.send(now, x.otherMembers(), crashes, trials)
}

// ReleaseContent handles the release of a quarantined content by an operator.
func (x *quarantineExchange) ReleaseContent(now time.Time, released message.ContentReleased) []message.Action {
	crashes, trials := x.table.Release(released.Content())
	return x.send(now, x.otherMembers(), crashes, trials)
}

// RecordTrial handles the trial of a quarantined request at the backend server beside the node.
func (x *quarantineExchange) RecordTrial(now time.Time, tried message.ContentTried) []message.Action {
	trial := quarantine.NewTrial(tried.Content(), tried.Number(), now)
	if !x.table.RecordTrial(trial) {
		return nil
	}
	return x.send(now, x.otherMembers(), nil, []quarantine.Trial{trial})
}

// Quarantine returns what decisions about requests need.
func (x *quarantineExchange) Quarantine() *quarantine.View { return x.table.View() }

func (x *quarantineExchange) tick(now time.Time) {
	if now.Before(x.nextExpiryAt) {
		return
	}
	x.nextExpiryAt = now.Add(quarantineExpiryPeriod)
	x.table.Expire(now)
	x.fleet.SetQuarantineDigest(x.table.Digest())
}

// receive handles the reports of another node, and the hash of its record.
func (x *quarantineExchange) receive(now time.Time, env message.Envelope) []message.Action {
	switch body := env.Body().(type) {
	case message.Quarantine:
		return x.merge(now, body)
	case message.Ping:
		return x.repair(now, env.Sender(), body.Summary())
	case message.Ack:
		return x.repair(now, env.Sender(), body.Summary())
	case message.SyncReq:
		if body.Mode() == message.SyncJoin {
			return x.sendRecord(now, env.Sender())
		}
	}
	return nil
}

func (x *quarantineExchange) merge(now time.Time, body message.Quarantine) []message.Action {
	var crashes []quarantine.Crash
	var trials []quarantine.Trial
	for _, r := range body.Crashes() {
		crash := quarantine.NewCrash(r.Request(), r.Server(), now.Add(-r.Age()))
		if r.Refuted() {
			crash = crash.Refute()
		}
		if x.table.RecordCrash(now, crash) && r.Age() >= quarantineForwardAge {
			crashes = append(crashes, crash)
		}
	}
	for _, r := range body.Trials() {
		trial := quarantine.NewTrial(r.Content(), r.Number(), now.Add(-r.Age())).WithPassed(r.Passed())
		if x.table.RecordTrial(trial) && r.Age() >= quarantineForwardAge {
			trials = append(trials, trial)
		}
	}
	return x.send(now, x.randomMembers(quarantineForwardFanout), crashes, trials)
}

// repair sends a part of the record to a node whose record differs.
func (x *quarantineExchange) repair(now time.Time, to member.Key, s message.Summary) []message.Action {
	if s.Quarantine() == x.table.Digest() || now.Before(x.nextSyncAt) {
		return nil
	}
	x.nextSyncAt = now.Add(quarantineSyncInterval)
	return x.sendRecord(now, to)
}

// sendRecord sends a node a message about quarantined requests, which a starting node needs first, and up to
// maxQuarantineSync messages of the rest of the record, which continue where the last ones ended.
func (x *quarantineExchange) sendRecord(now time.Time, to member.Key) []message.Action {
	crashes := x.table.Crashes()
	first := 0
	for first < min(len(crashes), message.MaxQuarantineReports) && x.table.View().Status(crashes[first].Request()).Quarantined() {
		first++
	}
	rest := crashes[first:]
	if x.syncedUpTo >= len(rest) {
		x.syncedUpTo = 0
	}
	more := rest[x.syncedUpTo:min(x.syncedUpTo+maxQuarantineSync*message.MaxQuarantineReports, len(rest))]
	x.syncedUpTo += len(more)
	part := append(crashes[:first:first], more...)
	return x.send(now, []member.Key{to}, part, trialsOf(x.table.Trials(), part))
}

// trialsOf returns the trials of the contents of some crashes.
func trialsOf(trials []quarantine.Trial, crashes []quarantine.Crash) []quarantine.Trial {
	contents := make(map[quarantine.Content]bool, len(crashes))
	for _, c := range crashes {
		contents[c.Request().Content()] = true
	}
	var found []quarantine.Trial
	for _, t := range trials {
		if contents[t.Content()] {
			found = append(found, t)
		}
	}
	return found
}

// send sends reports, which the record contains already, to nodes, in as many messages as they need.
func (x *quarantineExchange) send(now time.Time, to []member.Key, crashes []quarantine.Crash, trials []quarantine.Trial) []message.Action {
	x.fleet.SetQuarantineDigest(x.table.Digest())
	var bodies []message.Quarantine
	for len(crashes)+len(trials) > 0 {
		var crashReports []message.CrashReport
		var trialReports []message.TrialReport
		for _, crash := range crashes[:min(len(crashes), message.MaxQuarantineReports)] {
			crashReports = append(crashReports, message.NewCrashReport(crash.Request(), crash.Server(), now.Sub(crash.At()), crash.Refuted()))
		}
		for _, trial := range trials[:min(len(trials), message.MaxQuarantineReports-len(crashReports))] {
			trialReports = append(trialReports, message.NewTrialReport(trial.Content(), trial.Number(), trial.Passed(), now.Sub(trial.At())))
		}
		crashes, trials = crashes[len(crashReports):], trials[len(trialReports):]
		bodies = append(bodies, message.NewQuarantine(crashReports, trialReports))
	}
	var out []message.Action
	for _, body := range bodies {
		for _, key := range to {
			out = append(out, message.NewSend(key.Peer(), body))
		}
	}
	return out
}

// otherMembers returns all members of the view but the node itself.
func (x *quarantineExchange) otherMembers() []member.Key {
	var others []member.Key
	for _, m := range x.fleet.View().Members() {
		if m.Key().Peer() != x.fleet.Self().Key().Peer() {
			others = append(others, m.Key())
		}
	}
	return others
}

func (x *quarantineExchange) randomMembers(n int) []member.Key {
	others := x.otherMembers()
	x.rnd.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}
