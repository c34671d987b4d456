package ledger

import (
	"sync"
	"time"
)

// Ledger is a Machine for concurrent use. Arrivals of a key can wait for the call that is running.
type Ledger struct {
	mu      sync.Mutex
	machine *Machine
	waiters map[Key]chan struct{}
}

// New returns an empty ledger for the process with the tag owner that started at start.
func New(settings Settings, owner Tag, start time.Time) *Ledger {
	return &Ledger{
		machine: NewMachine(settings, owner, start),
		waiters: make(map[Key]chan struct{}),
	}
}

// SetOwner changes the tag of the process. New arrivals of unrecorded keys with the old tag are stale from then on, as
// if their owner had terminated.
func (l *Ledger) SetOwner(owner Tag) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.owner = owner
}

// Owner returns the tag of the process.
func (l *Ledger) Owner() Tag {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.owner
}

// Freeze permanently stops the ledger from running keys and returns the final export.
func (l *Ledger) Freeze(now time.Time) (Export, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Freeze(now)
	return l.machine.Export()
}

// Begin is like Machine.Begin. With VerdictWait, it returns a channel that is closed when the running call ends; Begin
// must then be called again.
func (l *Ledger) Begin(now time.Time, key Key, fp Fingerprint) (Verdict, Response, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, response := l.machine.Begin(now, key, fp)
	if verdict != VerdictWait {
		return verdict, response, nil
	}
	done, ok := l.waiters[key]
	if !ok {
		done = make(chan struct{})
		l.waiters[key] = done
	}
	return verdict, response, done
}

// Finish is like Machine.Finish, and wakes the arrivals that wait for the key.
func (l *Ledger) Finish(now time.Time, key Key, response Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Finish(now, key, response)
	l.wakeWaiters(key)
}

// MarkUnknown is like Machine.MarkUnknown, and wakes the arrivals that wait for the key.
func (l *Ledger) MarkUnknown(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.MarkUnknown(now, key)
	l.wakeWaiters(key)
}

// MarkNotRun is like Machine.MarkNotRun, and wakes the arrivals that wait for the key.
func (l *Ledger) MarkNotRun(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.MarkNotRun(now, key)
	l.wakeWaiters(key)
}

func (l *Ledger) wakeWaiters(key Key) {
	if done, ok := l.waiters[key]; ok {
		delete(l.waiters, key)
		close(done)
	}
}

// Len returns the number of recorded keys.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Len()
}

// ResponseBytes returns the total size of the stored responses.
func (l *Ledger) ResponseBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.ResponseBytes()
}
