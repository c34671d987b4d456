package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/platform"
)

// documentTimeout bounds a read of the store beyond its wait. A slow store takes up to a hundred times its usual
// 4 ms, and a silent connection has to be given up within the time in which a change must be in force.
const documentTimeout = 900 * time.Millisecond

// documentEdge executes orders to read the operator's document. Each is answered by one event.
type documentEdge struct {
	log    *platform.Log
	lines  zerolog.Logger
	answer func(message.Event)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu   sync.Mutex
	lost bool // the last read failed
}

func newDocumentEdge(log *platform.Log, lines zerolog.Logger, answer func(message.Event)) *documentEdge {
	ctx, cancel := context.WithCancel(context.Background())
	return &documentEdge{log: log, lines: lines, answer: answer, ctx: ctx, cancel: cancel}
}

// read starts a read.
func (d *documentEdge) read(r message.ReadDocument) {
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, r.MaxWait()+documentTimeout)
		defer cancel()
		page := d.page(ctx, r)
		d.note(page.Err())
		d.answer(page)
	})
}

func (d *documentEdge) page(ctx context.Context, r message.ReadDocument) message.DocumentPage {
	if r.Newest() {
		return d.log.NewestDocument(ctx)
	}
	return d.log.NextDocument(ctx, r.StartOffset(), r.MaxWait())
}

// note logs when the store is lost and when it is back.
func (d *documentEdge) note(err error) {
	if platform.ClassOf(err) == platform.ClassTrimmed || d.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	changed := d.lost != (err != nil)
	d.lost = err != nil
	d.mu.Unlock()
	if changed && err != nil {
		d.lines.Warn().Str("kind", "store_lost").Err(err).Msg("the store does not answer")
	} else if changed {
		d.lines.Info().Str("kind", "store_back").Msg("the store answers again")
	}
}

// Close gives up reads under way and waits for them.
func (d *documentEdge) Close() {
	d.cancel()
	d.wg.Wait()
}
