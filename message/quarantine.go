package message

import (
	"time"

	"github.com/bambooknot/bambooknot/quarantine"
)

// CrashReport says that a server process ended while it was running a request.
type CrashReport struct {
	request quarantine.Request
	server  quarantine.Server
	age     time.Duration
	refuted bool
}

// NewCrashReport returns the report of a crash that happened age ago.
func NewCrashReport(request quarantine.Request, server quarantine.Server, age time.Duration, refuted bool) CrashReport {
	return CrashReport{request: request, server: server, age: age, refuted: refuted}
}

// Request returns the request that was running.
func (r CrashReport) Request() quarantine.Request { return r.request }

// Server returns the process that ended.
func (r CrashReport) Server() quarantine.Server { return r.server }

// Age returns the time since the crash.
func (r CrashReport) Age() time.Duration { return r.age }

// Refuted reports whether the request was not the cause.
func (r CrashReport) Refuted() bool { return r.refuted }

// TrialReport says that a quarantined request was sent to a server as a trial.
type TrialReport struct {
	content quarantine.Content
	number  int
	passed  int
	age     time.Duration
}

// NewTrialReport returns the report of a trial, whose number counts from 1, that was made age ago. passed is the number of the
// last trial when the content was cleared, 0 if it never was.
func NewTrialReport(content quarantine.Content, number, passed int, age time.Duration) TrialReport {
	return TrialReport{content: content, number: number, passed: passed, age: age}
}

// Content returns the content of the request that was sent.
func (r TrialReport) Content() quarantine.Content { return r.content }

// Number returns the number of the trial, which counts from 1.
func (r TrialReport) Number() int { return r.number }

// Passed returns the number of the last trial when the content was cleared, 0 if it never was.
func (r TrialReport) Passed() int { return r.passed }

// Age returns the time since the trial.
func (r TrialReport) Age() time.Duration { return r.age }

// Quarantine spreads what a node knows of requests that crash servers. It is not answered.
type Quarantine struct {
	crashes []CrashReport
	trials  []TrialReport
}

// MaxQuarantineReports is the number of reports in one Quarantine that always fits into a datagram.
const MaxQuarantineReports = 24

// NewQuarantine returns a message with at most MaxQuarantineReports reports. It keeps the slices.
func NewQuarantine(crashes []CrashReport, trials []TrialReport) Quarantine {
	return Quarantine{crashes: crashes, trials: trials}
}

// PeerMessage implements PeerMessage.
func (Quarantine) PeerMessage() {}

// Crashes returns the reports of crashes. The caller must not change it.
func (q Quarantine) Crashes() []CrashReport { return q.crashes }

// Trials returns the reports of trials. The caller must not change it.
func (q Quarantine) Trials() []TrialReport { return q.trials }

// ServerCrash is the event that the backend server of the node ended while it was running requests.
type ServerCrash struct {
	server   quarantine.Server
	requests []quarantine.Request
}

// NewServerCrash returns the event. It keeps the slice.
func NewServerCrash(server quarantine.Server, requests []quarantine.Request) ServerCrash {
	return ServerCrash{server: server, requests: requests}
}

// Event implements Event.
func (ServerCrash) Event() {}

// Server returns the process that ended.
func (c ServerCrash) Server() quarantine.Server { return c.server }

// Requests returns the requests that were running. The caller must not change it.
func (c ServerCrash) Requests() []quarantine.Request { return c.requests }

// RequestCleared is the event that a server has run a suspected request to its end.
type RequestCleared struct {
	request quarantine.Request
}

// NewRequestCleared returns the event.
func NewRequestCleared(request quarantine.Request) RequestCleared {
	return RequestCleared{request: request}
}

// Event implements Event.
func (RequestCleared) Event() {}

// Request returns the request.
func (c RequestCleared) Request() quarantine.Request { return c.request }

// ContentReleased is the event that an operator releases a quarantined content.
type ContentReleased struct {
	content quarantine.Content
}

// NewContentReleased returns the event.
func NewContentReleased(content quarantine.Content) ContentReleased {
	return ContentReleased{content: content}
}

// Event implements Event.
func (ContentReleased) Event() {}

// Content returns the content.
func (c ContentReleased) Content() quarantine.Content { return c.content }

// ContentTried is the event that the node sends a quarantined request to its server as a trial.
type ContentTried struct {
	content quarantine.Content
	number  int
}

// NewContentTried returns the event. number counts from 1.
func NewContentTried(content quarantine.Content, number int) ContentTried {
	return ContentTried{content: content, number: number}
}

// Event implements Event.
func (ContentTried) Event() {}

// Content returns the content of the request.
func (c ContentTried) Content() quarantine.Content { return c.content }

// Number returns the number of the trial, which counts from 1.
func (c ContentTried) Number() int { return c.number }
