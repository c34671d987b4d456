package node

import (
	"context"
	"sync"
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
}

func newLogClient(log *platform.Log, readTimeout, appendTimeout time.Duration, deliver func(message.Event)) *logClient {
	ctx, cancel := context.WithCancel(context.Background())
	return &logClient{log: log, readTimeout: readTimeout, appendTimeout: appendTimeout, deliver: deliver, ctx: ctx, cancel: cancel}
}

// read starts a read. Its timeout is the read timeout in addition to its wait for the first entry.
func (l *logClient) read(r message.ReadLog) {
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, r.MaxWait()+l.readTimeout)
		defer cancel()
		l.deliver(l.log.Read(ctx, r.Stream(), r.StartOffset(), r.MaxWait()))
	})
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
