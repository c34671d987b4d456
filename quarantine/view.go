package quarantine

import "time"

// CrashLimit is the number of server processes that a request may end before it is quarantined. A request that ran beside
// the one to blame is seldom at two ends; a third end would cost callers a further server.
const CrashLimit = 2

// trialDelays are the times from the last crash or trial of a quarantined request to its next trial, by the number of
// trials made so far. The last one holds for all further trials. The first trial comes as soon as all nodes have the reports of
// servers that end together, because it clears a popular request that ran on many of them, and the second one soon, as the
// server of the first one may have ended for another reason.
var trialDelays = []time.Duration{300 * time.Millisecond, 5 * time.Second, 30 * time.Minute, 8 * time.Hour, 16 * time.Hour}

// maxEarlyTrials is the number of trials of a content after which all callers wait for the regular ones.
const maxEarlyTrials = 3

// View is a snapshot of a Table. It is safe for concurrent use.
type View struct {
	records map[Content]record
}

// record is what is known of one content with crashes that are not refuted.
type record struct {
	crashes []Crash
	trial   Trial     // the last one
	lastAt  time.Time // of the last crash or trial
}

// NewView returns the view of an empty table.
func NewView() *View { return &View{} }

// Empty reports whether no request is suspected, so that no content has to be computed.
func (v *View) Empty() bool { return len(v.records) == 0 }

// Quarantined returns the contents that are quarantined for one caller at least.
func (v *View) Quarantined() map[Content]Status {
	quarantined := make(map[Content]Status)
	for content, r := range v.records {
		for _, c := range r.crashes {
			if s := r.status(c.request.caller); s.Quarantined() {
				quarantined[content] = s
			}
		}
	}
	return quarantined
}

// Status returns what is known of a request.
func (v *View) Status(request Request) Status {
	r, ok := v.records[request.content]
	if !ok {
		return Status{}
	}
	return r.status(request.caller)
}

// LastTrial returns the number of the last trial of a content, 0 without one.
func (v *View) LastTrial(content Content) int { return v.records[content].trial.number }

// status counts the crashes against a caller. Those of the same content sent by others count as well, unless a server has
// run the content to its end for this caller.
func (r record) status(caller Caller) Status {
	own, others, cleared := 0, 0, false
	for _, c := range r.crashes {
		switch {
		case c.request.caller == caller && c.refuted:
			cleared = true
		case c.refuted:
		case c.request.caller == caller:
			own++
		default:
			others++
		}
	}
	s := Status{crashes: own, trials: r.trial.number - r.trial.passed, lastTrial: r.trial.number, lastAt: r.lastAt}
	if !cleared {
		s.crashes, s.byOthers = own+others, own == 0
	}
	return s
}

// Status is what is known of one request. The zero value stands for one that no server has crashed with.
type Status struct {
	crashes   int
	byOthers  bool      // all crashes are those of other callers
	trials    int       // since the content was cleared last
	lastTrial int       // number of the last trial
	lastAt    time.Time // of the last crash or trial
}

// Crashes returns the number of server processes that ended while they ran the request.
func (s Status) Crashes() int { return s.crashes }

// NextTrial returns the number of the next trial.
func (s Status) NextTrial() int { return s.lastTrial + 1 }

// Trials returns the number of trials made since the content was cleared for all callers, or ever.
func (s Status) Trials() int { return s.trials }

// Suspect reports whether a server has ended while it ran the request and no other server has run it to its end since.
func (s Status) Suspect() bool { return s.crashes > 0 }

// Quarantined reports whether servers may run the request only in a trial.
func (s Status) Quarantined() bool { return s.crashes >= CrashLimit }

// NextTrialAt returns the time from which a quarantined request may be sent to one server as a trial. It is early for a
// caller with whose requests no server has crashed.
func (s Status) NextTrialAt() time.Time {
	if s.byOthers && s.trials < maxEarlyTrials {
		return s.lastAt.Add(trialDelays[0])
	}
	return s.lastAt.Add(trialDelays[min(s.trials, len(trialDelays)-1)])
}
