package command

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/node"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/timer"
)

const nodeLong = `Runs the node of a backend server until SIGTERM or SIGINT. It then drains: it refuses new calls as not run,
completes those in flight, leaves the fleet and exits. A second signal stops it at once.

Exit codes: 0 drained and left the fleet; 1 calls were cut off at the drain timeout or by a second signal, or an
address could not be bound; 2 invalid settings, nothing was started.`

type nodeCommand struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file of the node"`
}

func init() {
	Register("node", "Run a node", nodeLong, func() Runner { return &nodeCommand{} })
}

func (c *nodeCommand) Run(env Env, _ []string) int {
	s, err := setting.Load(c.Settings)
	if err != nil {
		return FailUsage(env, err)
	}
	level, err := zerolog.ParseLevel(s.Logging().Level())
	if err != nil {
		return FailUsage(env, err)
	}
	log := zerolog.New(env.Err).Level(level).With().Timestamp().Logger()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	debug.SetMemoryLimit(s.Limits().Memory())
	n, err := node.New(s, timer.New(), log)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitFailure
	}
	<-signals
	return stopNode(n, signals, log)
}

// stopNode drains the node, or closes it at once at the next signal.
func stopNode(n *node.Node, signals <-chan os.Signal, log zerolog.Logger) int {
	done := make(chan error, 1)
	go func() { done <- n.Shutdown() }()
	select {
	case err := <-done:
		if err != nil {
			log.Error().Err(err).Msg("calls were cut off at the drain timeout")
			return ExitFailure
		}
		return ExitOK
	case <-signals:
		n.Close()
		return ExitFailure
	}
}
