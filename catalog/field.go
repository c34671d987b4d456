package catalog

import (
	"math"
	"path"
	"strings"
	"time"

	"github.com/bambooknot/bambooknot/record"
)

// Limits of fields. All nodes must decide alike, so changing a limit needs a new schema level.
const (
	maxNameBytes = 128
	maxPathBytes = 1024
	maxSlots     = 100_000
	maxRate      = 1e6 // calls per second
	maxBurst     = 1_000_000
	maxResources = 16
	minTimeout   = time.Millisecond
	maxTimeout   = 10 * time.Minute
)

func (v *validator) checkFields() {
	for _, r := range v.change.Puts() {
		if r.Schema() > v.state.level {
			v.add(record.ReasonSchema, r.ID(), "schema", "schema %d is above level %d of the fleet", r.Schema(), v.state.level)
			continue
		}
		if r.Schema() == 0 {
			v.add(record.ReasonInvalid, r.ID(), "schema", "the schema is missing")
		}
		v.checkName(r.ID(), "name", r.ID().Name())
		switch r := r.(type) {
		case record.Service:
			v.checkService(r)
		case record.Resource:
			v.checkResource(r)
		case record.Route:
			v.checkRoute(r)
		}
	}
}

func (v *validator) checkName(id record.ID, field, name string) {
	switch {
	case name == "":
		v.add(record.ReasonInvalid, id, field, "the name is empty")
	case len(name) > maxNameBytes:
		v.add(record.ReasonInvalid, id, field, "the name exceeds %d bytes", maxNameBytes)
	case strings.ContainsFunc(name, forbiddenInName):
		v.add(record.ReasonInvalid, id, field, "the name holds a space, a slash or a control character")
	}
}

// forbiddenInName and forbiddenInPath don't use the tables of package unicode, because these differ between
// releases of Go and all nodes must decide alike.
func forbiddenInName(r rune) bool { return r == '/' || isBlank(r) }

func forbiddenInPath(r rune) bool { return r == '?' || r == '#' || isBlank(r) }

func isBlank(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd }

func (v *validator) checkService(s record.Service) {
	if s.Slots() < 0 || s.Slots() > maxSlots {
		v.add(record.ReasonInvalid, s.ID(), "slots", "%d is not between 0 and %d", s.Slots(), maxSlots)
	}
}

func (v *validator) checkResource(r record.Resource) {
	if !(r.Rate() > 0 && r.Rate() <= maxRate) {
		v.add(record.ReasonInvalid, r.ID(), "rate", "%g is not above 0 and up to %g calls a second", r.Rate(), maxRate)
	}
	if r.Burst() < 0 || r.Burst() > maxBurst {
		v.add(record.ReasonInvalid, r.ID(), "burst", "%d is not between 0 and %d", r.Burst(), maxBurst)
	}
}

func (v *validator) checkRoute(r record.Route) {
	v.checkPath(r)
	v.checkName(r.ID(), "service", r.Service())
	if r.Timeout() < minTimeout || r.Timeout() > maxTimeout {
		v.add(record.ReasonInvalid, r.ID(), "timeout", "%s is not between %s and %s", r.Timeout(), minTimeout, maxTimeout)
	}
	v.checkResources(r)
	v.checkObjective(r)
}

func (v *validator) checkPath(r record.Route) {
	p := r.Path()
	clean := path.Clean(p)
	switch {
	case !strings.HasPrefix(p, "/"):
		v.add(record.ReasonInvalid, r.ID(), "path", "the path does not start with a slash")
	case len(p) > maxPathBytes:
		v.add(record.ReasonInvalid, r.ID(), "path", "the path exceeds %d bytes", maxPathBytes)
	case p != clean && p != clean+"/":
		v.add(record.ReasonInvalid, r.ID(), "path", "the path holds empty, . or .. segments")
	case strings.ContainsFunc(p, forbiddenInPath):
		v.add(record.ReasonInvalid, r.ID(), "path", "the path holds a space, a control character, ? or #")
	}
}

func (v *validator) checkResources(r record.Route) {
	if len(r.Resources()) > maxResources {
		v.add(record.ReasonInvalid, r.ID(), "resources", "there are %d, %d are allowed", len(r.Resources()), maxResources)
	}
	seen := make(map[string]bool)
	for _, name := range r.Resources() {
		v.checkName(r.ID(), "resources", name)
		if seen[name] {
			v.add(record.ReasonInvalid, r.ID(), "resources", "%s occurs twice", truncateName(name))
		}
		seen[name] = true
	}
}

func (v *validator) checkObjective(r record.Route) {
	o := r.Objective()
	if o.IsZero() {
		return
	}
	if math.IsNaN(o.Target()) || o.Target() <= 0 || o.Target() >= 1 {
		v.add(record.ReasonInvalid, r.ID(), "target", "%g is not between 0 and 1", o.Target())
	}
	if o.Latency() <= 0 || o.Latency() > maxTimeout {
		v.add(record.ReasonInvalid, r.ID(), "latency", "%s is not above 0 and up to %s", o.Latency(), maxTimeout)
	}
}
