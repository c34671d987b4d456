package node

import (
	"context"
	"sync"

	"github.com/looplab/fsm"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/message"
)

// Events of a node's lifecycle.
const (
	eventJoined  = "joined"
	eventDrain   = "drain"
	eventStopped = "stopped"
)

// lifecycle is the state machine of a node's stages: joining, serving, draining, stopped.
type lifecycle struct {
	mu      sync.Mutex
	machine *fsm.FSM
}

func newLifecycle(log zerolog.Logger, scope tally.Scope) *lifecycle {
	joining, serving := string(message.StageJoining), string(message.StageServing)
	draining, stopped := string(message.StageDraining), string(message.StageStopped)
	entered := func(_ context.Context, e *fsm.Event) {
		scope.Tagged(map[string]string{"stage": e.Dst}).Counter("stage_entered").Inc(1)
		log.Info().Str("kind", "stage_changed").Str("from", e.Src).Str("to", e.Dst).Msg("stage changed")
	}
	return &lifecycle{machine: fsm.NewFSM(joining, fsm.Events{
		{Name: eventJoined, Src: []string{joining}, Dst: serving},
		{Name: eventDrain, Src: []string{joining, serving}, Dst: draining},
		{Name: eventStopped, Src: []string{joining, serving, draining}, Dst: stopped},
	}, fsm.Callbacks{"enter_state": entered})}
}

// transition performs the transition of an event and reports whether the current stage permits it.
func (l *lifecycle) transition(event string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Event(context.Background(), event) == nil
}

func (l *lifecycle) current() message.Stage {
	return message.Stage(l.machine.Current())
}
