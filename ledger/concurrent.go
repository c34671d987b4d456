package ledger

import (
	"sync"
	"time"
)

// Ledger is a Machine for concurrent use, in which arrivals can wait for a running call.
type Ledger struct {
	mu      sync.Mutex
	machine *Machine
	waiters map[Key]chan struct{}
}

// New returns an empty ledger of the process with that tag, which started at start.
func New(settings Settings, owner Tag, start time.Time) *Ledger {
	return &Ledger{
		machine: NewMachine(settings, owner, start),
		waiters: make(map[Key]chan struct{}),
	}
}

// SetOwner makes the ledger that of a process with another tag. Keys that name the old tag are refused
// from now on, as if their owner were gone.
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

// Freeze ends the running of keys for good and returns the final export.
func (l *Ledger) Freeze(now time.Time) (Export, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Freeze(now)
	return l.machine.Export()
}

// Begin is like Machine.Begin. With VerdictWait, the channel is closed when the running call has
// ended; Begin must then be called again.
func (l *Ledger) Begin(now time.Time, key Key, fp Fingerprint) (Verdict, Response, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, answer := l.machine.Begin(now, key, fp)
	if verdict != VerdictWait {
		return verdict, answer, nil
	}
	done, ok := l.waiters[key]
	if !ok {
		done = make(chan struct{})
		l.waiters[key] = done
	}
	return verdict, answer, done
}

// Finish records a whole answer.
func (l *Ledger) Finish(now time.Time, key Key, answer Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Finish(now, key, answer)
	l.wakeWaiters(key)
}

// MarkUnknown records that an outcome is not known or an answer is not kept.
func (l *Ledger) MarkUnknown(now time.Time, key Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.MarkUnknown(now, key)
	l.wakeWaiters(key)
}

// MarkNotRun records that a call did not run and never will.
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

// Len returns the number of keys remembered.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Len()
}

// ResponseBytes returns the size of the kept answers.
func (l *Ledger) ResponseBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.ResponseBytes()
}
