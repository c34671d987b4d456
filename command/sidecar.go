package command

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooknot/bambooknot/node"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/timer"
)

const sidecarLong = `Runs the node of a backend server on the users' platform until SIGTERM or SIGINT. It then notifies callers
and other nodes, answers the requests in flight and exits within the grace period of its settings. It reloads the
settings file on SIGHUP and when the file changes.

Exit codes: 0 stopped; 1 requests were cut off at the end of the grace period, or an address could not be bound;
2 invalid settings, nothing was started.`

// settingsEnv is the environment variable with the path of the settings file if the command line gives none.
const settingsEnv = "BAMBOOKNOT_SETTINGS"

// settingsPollInterval is the interval of checks for changes of the settings file, which may come without a signal.
const settingsPollInterval = time.Second

const (
	// memoryLimitShare is the memory limit of the Go runtime as a share of the permitted memory.
	memoryLimitShare = 0.7
	// collectionPercent is the growth of the heap in percent at which the garbage collector runs. The heap of a node is
	// small, so that frequent collections cost little processor time; memory is billed by its peak.
	collectionPercent = 30
)

type sidecarCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file; default is the value of the environment variable BAMBOOKNOT_SETTINGS"`
}

func init() {
	Register("sidecar", "Run a node on the users' platform", sidecarLong, func() Runner { return &sidecarCommand{} })
}

func (c *sidecarCommand) Run(env Env, _ []string) int {
	signals := make(chan os.Signal, 4) // from the start, as an unhandled SIGHUP ends the process
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	path := c.Settings
	if path == "" {
		path = os.Getenv(settingsEnv)
	}
	s, err := setting.LoadSidecar(path)
	if err != nil {
		return FailUsage(env, err)
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimit())))
	debug.SetGCPercent(collectionPercent)
	clock := timer.New()
	zerolog.TimeFieldFormat = time.RFC3339Nano // the log lines of several nodes are sorted by it
	sink := node.NewLogSink(env.Out, clock)
	defer sink.Close()
	log := zerolog.New(sink).With().Timestamp().Str("vm", s.Name()).Logger()
	n, err := node.NewSidecar(path, s, clock, sink, log)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitFailure
	}
	reload := clock.Every(settingsPollInterval, func(time.Time) { n.Reload() })
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		n.Reload()
	}
	reload.Close()
	if n.Shutdown() > 0 {
		return ExitFailure
	}
	return ExitOK
}
