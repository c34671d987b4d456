package setting

import "github.com/bambooknot/bambooknot/tomldoc"

const defaultLevel = "info"

// Logging is the section [logging].
type Logging struct {
	level string
}

func readLogging(t *tomldoc.Table) Logging {
	return Logging{level: t.Choice("level", defaultLevel, "debug", "info", "warn", "error")}
}

// Level returns the lowest level of log lines written: debug, info, warn or error.
func (l Logging) Level() string { return l.level }
