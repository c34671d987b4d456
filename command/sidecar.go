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

const sidecarLong = `Runs the node beside a backend server on the users' platform until SIGTERM or SIGINT: it then tells callers
and other nodes, answers the requests in flight and exits within the grace of its settings. SIGHUP has the settings
file read again, as has a change of the file.

Exit codes: 0 stopped; 1 requests were cut off at the end of the grace, or an address could not be bound; 2 bad settings, nothing was started.`

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "BAMBOOKNOT_SETTINGS"

// settingsPeriod is the time between two looks at the settings file, which may change without a signal.
const settingsPeriod = time.Second

// memoryShare is the share of the permitted memory that the runtime tries to keep to.
const memoryShare = 0.7

type sidecarCommand struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file; without it the variable BAMBOOKNOT_SETTINGS names it"`
}

func init() {
	Register("sidecar", "Run a node on the users' platform", sidecarLong, func() Runner { return &sidecarCommand{} })
}

func (c *sidecarCommand) Run(env Env, _ []string) int {
	path := c.Settings
	if path == "" {
		path = os.Getenv(settingsVariable)
	}
	s, err := setting.LoadSidecar(path)
	if err != nil {
		return FailUsage(env, err)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimit())))
	clock := timer.New()
	zerolog.TimeFieldFormat = time.RFC3339Nano // lines of several nodes are put in order by it
	sink := node.NewLogSink(env.Out, clock)
	defer sink.Close()
	log := zerolog.New(sink).With().Timestamp().Str("vm", s.Name()).Logger()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	n, err := node.NewSidecar(path, s, clock, sink, log)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitFailure
	}
	reload := clock.Every(settingsPeriod, func(time.Time) { n.Reload() })
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
