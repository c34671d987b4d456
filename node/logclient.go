package node

import (
	"context"
	"sync"
	"time"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/platform"
)

// logEdge executes orders to read and to append. Each order is answered by one event.
type logEdge struct {
	log           *platform.Log
	readTimeout   time.Duration
	appendTimeout time.Duration
	answer        func(message.Event)
	ctx           context.Context
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

func newLogEdge(log *platform.Log, readTimeout, appendTimeout time.Duration, answer func(message.Event)) *logEdge {
	ctx, cancel := context.WithCancel(context.Background())
	return &logEdge{log: log, readTimeout: readTimeout, appendTimeout: appendTimeout, answer: answer, ctx: ctx, cancel: cancel}
}

// read starts a read, which may take its wait for a first entry and the read timeout.
func (l *logEdge) read(r message.ReadLog) {
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, r.MaxWait()+l.readTimeout)
		defer cancel()
		l.answer(l.log.Read(ctx, r.Stream(), r.StartOffset(), r.MaxWait()))
	})
}

func (l *logEdge) append(a message.AppendLog) {
	l.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, l.appendTimeout)
		defer cancel()
		offset, err := l.log.Append(ctx, a.Stream(), a.Data())
		l.answer(message.NewAppendResult(a.Stream(), a.Token(), offset, err))
	})
}

// Close gives up orders under way and waits for them.
func (l *logEdge) Close() {
	l.cancel()
	l.wg.Wait()
}
