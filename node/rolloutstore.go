package node

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/message"
	"github.com/bambooknot/bambooknot/platform"
	"github.com/bambooknot/bambooknot/rollout"
	"github.com/bambooknot/bambooknot/wire"
)

// rolloutStore executes reads and writes of decisions about roll-outs and delivers the result of each as an event.
type rolloutStore struct {
	store   *platform.Log
	logger  zerolog.Logger
	deliver func(message.Event)
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func newRolloutStore(store *platform.Log, logger zerolog.Logger, deliver func(message.Event)) *rolloutStore {
	ctx, cancel := context.WithCancel(context.Background())
	return &rolloutStore{store: store, logger: logger, deliver: deliver, ctx: ctx, cancel: cancel}
}

// execute starts an action. It does not block.
func (s *rolloutStore) execute(a message.RolloutAction) {
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, documentTimeout)
		defer cancel()
		s.deliver(s.do(ctx, a.Request()))
	})
}

func (s *rolloutStore) do(ctx context.Context, request rollout.Action) message.RolloutResult {
	switch r := request.(type) {
	case rollout.AppendDecision:
		return s.append(ctx, r)
	case rollout.WriteStatus:
		d := r.Decision()
		err := s.store.WriteStatus(ctx, d.Service(), d.Phase().State(), d.Target(), d.Sequence())
		return message.NewRolloutResult(r, storeResult(err), err)
	}
	return s.read(ctx, request)
}

func (s *rolloutStore) append(ctx context.Context, a rollout.AppendDecision) message.RolloutResult {
	value, err := wire.EncodeDecision(a.Decision())
	if err == nil {
		err = s.store.AppendRollout(ctx, a.Decision().Service(), value, a.End())
	}
	return message.NewRolloutResult(a, storeResult(err), err)
}

// read returns the decisions of the store. One that cannot be decoded, of a newer release, is skipped.
func (s *rolloutStore) read(ctx context.Context, request rollout.Action) message.RolloutResult {
	entries, end, err := s.store.ReadRollouts(ctx)
	var decisions []rollout.Decision
	for _, e := range entries {
		d, err := wire.DecodeDecision(e.Value())
		if err != nil {
			s.logger.Warn().Str("kind", "rollout_unreadable").Str("service", e.Service()).Uint64("offset", e.Offset()).Err(err).Msg("a decision about a roll-out cannot be decoded")
			continue
		}
		decisions = append(decisions, d.WithSequence(e.Offset()+1))
	}
	return message.NewRolloutPage(request, decisions, end, err)
}

func storeResult(err error) rollout.StoreResult {
	switch {
	case err == nil:
		return rollout.StoreDone
	case platform.ClassOf(err) == platform.ClassConflict:
		return rollout.StoreRejected
	}
	return rollout.StoreUnknown
}

// Close cancels actions in progress and waits for them.
func (s *rolloutStore) Close() {
	s.cancel()
	s.wg.Wait()
}
