package node

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/platform"
)

// documentTimeout is the timeout of a read of the store in addition to its wait. A slow store takes up to a hundred times
// its usual 4 ms. A connection without a response has to be abandoned soon enough for a change to be applied in time.
const documentTimeout = 900 * time.Millisecond

// documentReader executes reads of the operator's document and delivers the result of each as an event.
type documentReader struct {
	store   *platform.Log
	logger  zerolog.Logger
	deliver func(message.Event)
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu          sync.Mutex
	unavailable bool // whether the last read failed
}

func newDocumentReader(store *platform.Log, logger zerolog.Logger, deliver func(message.Event)) *documentReader {
	ctx, cancel := context.WithCancel(context.Background())
	return &documentReader{store: store, logger: logger, deliver: deliver, ctx: ctx, cancel: cancel}
}

// read starts a read. It does not block.
func (d *documentReader) read(r message.ReadDocument) {
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, r.MaxWait()+documentTimeout)
		defer cancel()
		page := d.readPage(ctx, r)
		d.logAvailability(page.Err())
		d.deliver(page)
	})
}

func (d *documentReader) readPage(ctx context.Context, r message.ReadDocument) message.DocumentPage {
	if r.Newest() {
		return d.store.NewestDocument(ctx)
	}
	return d.store.NextDocument(ctx, r.StartOffset(), r.MaxWait())
}

// logAvailability logs when reads start to fail and when they succeed again. An offset that is gone is no failure.
func (d *documentReader) logAvailability(err error) {
	if offsetGone(err) || d.ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	changed := d.unavailable != (err != nil)
	d.unavailable = err != nil
	d.mu.Unlock()
	if changed && err != nil {
		d.logger.Warn().Str("kind", "store_lost").Err(err).Msg("the store does not respond")
	} else if changed {
		d.logger.Info().Str("kind", "store_back").Msg("the store responds again")
	}
}

// Close cancels reads in progress and waits for them.
func (d *documentReader) Close() {
	d.cancel()
	d.wg.Wait()
}
