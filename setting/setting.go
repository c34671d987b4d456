// Package setting loads the settings of a node or sidecar from a TOML file. The whole file is validated when it is
// loaded, so that nothing starts with partly valid settings.
package setting

import (
	"regexp"

	"github.com/bambooknot/bambooknot/tomldoc"
)

// Settings holds the settings of a node that reads its configuration from the log, a node.Node.
type Settings struct {
	fleet   Fleet
	node    Node
	listen  Listen
	log     Log
	call    Call
	limits  Limits
	logging Logging
}

// Load reads and validates the settings file at path. The error is a *tomldoc.FaultsError with every fault of the file.
func Load(path string) (Settings, error) {
	doc, err := tomldoc.Load(path)
	if err != nil {
		return Settings{}, err
	}
	return read(doc)
}

// Parse parses and validates settings. Faults use file as the name of their source.
func Parse(file string, data []byte) (Settings, error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return Settings{}, err
	}
	return read(doc)
}

func read(doc *tomldoc.Document) (Settings, error) {
	root := doc.Root()
	s := Settings{
		fleet:   readFleet(root.Table("fleet")),
		node:    readNode(root.Table("node")),
		listen:  readListen(root.Table("listen")),
		log:     readLog(root.Table("log")),
		call:    readCall(root.Table("call")),
		limits:  readLimits(root.Table("limits")),
		logging: readLogging(root.Table("logging")),
	}
	s.checkAddresses(root)
	if err := doc.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Fleet returns the section [fleet].
func (s Settings) Fleet() Fleet { return s.fleet }

// Node returns the section [node].
func (s Settings) Node() Node { return s.node }

// Listen returns the section [listen].
func (s Settings) Listen() Listen { return s.listen }

// Log returns the section [log].
func (s Settings) Log() Log { return s.log }

// Call returns the section [call].
func (s Settings) Call() Call { return s.call }

// Limits returns the section [limits].
func (s Settings) Limits() Limits { return s.limits }

// Logging returns the section [logging].
func (s Settings) Logging() Logging { return s.logging }

const nameRule = "a name of up to 63 lower-case letters, digits and inner hyphens"

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// requiredName reads a required name.
func requiredName(t *tomldoc.Table, key string) string {
	t.Require(key, nameRule)
	return t.Match(key, validName.MatchString, nameRule)
}
