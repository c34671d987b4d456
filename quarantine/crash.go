package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server identifies one process of a backend server in the whole fleet.
type Server uint64

// NewServer returns the identity of the process with a server ID that started at a time in Unix milliseconds.
func NewServer(id string, startedUnixMilli int64) Server {
	return Server(xxhash.Sum64(append([]byte(id), binary.BigEndian.AppendUint64(nil, uint64(startedUnixMilli))...)))
}

// Crash records that a server process ended while it was running a request. With the zero Server it records only that
// the request does not crash servers.
type Crash struct {
	request Request
	server  Server
	at      time.Time
	refuted bool
}

// NewCrash returns the record of a crash.
func NewCrash(request Request, server Server, at time.Time) Crash {
	return Crash{request: request, server: server, at: at}
}

// Refute returns the crash with the note that the request was not its cause, as the same request ran to its end elsewhere.
func (c Crash) Refute() Crash {
	c.refuted = true
	return c
}

// Request returns the request that was running.
func (c Crash) Request() Request { return c.request }

// Server returns the process that ended.
func (c Crash) Server() Server { return c.server }

// At returns when the process ended.
func (c Crash) At() time.Time { return c.at }

// Refuted reports whether the request was not the cause.
func (c Crash) Refuted() bool { return c.refuted }

// Trial records that a quarantined request was sent to a server to find out whether it still crashes servers.
type Trial struct {
	content Content
	number  int // counts from 1
	passed  int // number of the last trial when the content was cleared for all callers, 0 if it never was
	at      time.Time
}

// NewTrial returns the record of a trial.
func NewTrial(content Content, number int, at time.Time) Trial {
	return Trial{content: content, number: number, at: at}
}

// WithPassed returns the trial with the number of the last trial when the content was cleared for all callers.
func (t Trial) WithPassed(number int) Trial {
	t.passed = number
	return t
}

// Passed returns the number of the last trial when the content was cleared for all callers, 0 if it never was. Trials up
// to it do not delay further ones.
func (t Trial) Passed() int { return t.passed }

// Content returns the content of the request that was sent.
func (t Trial) Content() Content { return t.content }

// Number returns the number of the trial, which counts from 1.
func (t Trial) Number() int { return t.number }

// At returns when the request was sent.
func (t Trial) At() time.Time { return t.at }
