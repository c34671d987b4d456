package node

import (
	"context"
	"sync"

	"github.com/looplab/fsm"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/bambooknot/bambooknot/message"
)

// Events of a node's life.
const (
	eventJoined  = "joined"
	eventDrain   = "drain"
	eventStopped = "stopped"
)

// stages is the machine of a node's life: joining, serving, draining, stopped.
type stages struct {
	mu      sync.Mutex
	machine *fsm.FSM
}

func newStages(log zerolog.Logger, scope tally.Scope) *stages {
	joining, serving := string(message.StageJoining), string(message.StageServing)
	draining, stopped := string(message.StageDraining), string(message.StageStopped)
	entered := func(_ context.Context, e *fsm.Event) {
		scope.Tagged(map[string]string{"stage": e.Dst}).Counter("stage_entered").Inc(1)
		log.Info().Str("kind", "stage_changed").Str("from", e.Src).Str("to", e.Dst).Msg("stage changed")
	}
	return &stages{machine: fsm.NewFSM(joining, fsm.Events{
		{Name: eventJoined, Src: []string{joining}, Dst: serving},
		{Name: eventDrain, Src: []string{joining, serving}, Dst: draining},
		{Name: eventStopped, Src: []string{joining, serving, draining}, Dst: stopped},
	}, fsm.Callbacks{"enter_state": entered})}
}

// fire makes the transition of an event, and tells whether the stage permitted it.
func (s *stages) fire(event string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Event(context.Background(), event) == nil
}

func (s *stages) current() message.Stage {
	return message.Stage(s.machine.Current())
}
