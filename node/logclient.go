package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/platform"
)

// logClient executes reads and appends of the log and delivers the result of each as an event.
type logClient struct {
	log           *platform.Log
	readTimeout   time.Duration
	appendTimeout time.Duration
	deliver       func(message.Event)
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
	configEra     atomic.Uint64 // of the log in the first page of the configuration stream; 0 before it
}

// errOtherEra is the error of a page of the configuration stream that may contradict earlier ones.
var errOtherEra = errors.New("the log has returned from a copy without its last entries, so its offsets may name other entries than before")

func newLogClient(log *platform.Log, readTimeout, appendTimeout time.Duration, deliver func(message.Event)) *logClient {
	ctx, cancel := context.WithCancel(context.Background())
	return &logClient{log: log, readTimeout: readTimeout, appendTimeout: appendTimeout, deliver: deliver, ctx: ctx, cancel: cancel}
}

// read starts a read. Its timeout is the read timeout in addition to its wait for the first entry.
func (l *logClient) read(r message.ReadLog) {
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, r.MaxWait()+l.readTimeout)
		defer cancel()
		l.deliver(l.checkEra(l.log.Read(ctx, r.Stream(), r.StartOffset(), r.MaxWait())))
	})
}

// checkEra replaces a page of the configuration stream by an error if it is of another era than the first one. Entries are
// folded in the order of their offsets, and those of two eras have no common order.
func (l *logClient) checkEra(page message.LogPage) message.LogPage {
	era := uint64(page.Era())
	if page.Stream() != message.StreamConfig || era == 0 || l.configEra.CompareAndSwap(0, era) || l.configEra.Load() == era {
		return page
	}
	return message.NewLogPage(page.Stream(), 0, 0, nil, platform.NewError(platform.ClassRewound, errOtherEra)).WithEra(page.Era())
}

func (l *logClient) append(a message.AppendLog) {
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, l.appendTimeout)
		defer cancel()
		offset, era, err := l.log.AppendInEra(ctx, a.Stream(), a.Data())
		l.deliver(message.NewAppendResult(a.Stream(), a.Token(), offset, err).WithEra(era))
	})
}

// Close cancels reads and appends in progress and waits for them.
func (l *logClient) Close() {
	l.cancel()
	l.wg.Wait()
}
