package setting

import "github.com/bambooknot/bambooknot/tomldoc"

const defaultLevel = "info"

// Logging is the section [logging]: the settings of log output.
type Logging struct {
	level string
}

func readLogging(t *tomldoc.Table) Logging {
	return Logging{level: t.Choice("level", defaultLevel, "debug", "info", "warn", "error")}
}

// Level returns the lowest level of the log lines that are written: debug, info, warn or error.
func (l Logging) Level() string { return l.level }
