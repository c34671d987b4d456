package tomldoc

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	file   string
	line   int // counted from 1, zero when it is not known
	key    string
	detail string
}

// File returns the file at fault.
func (f Fault) File() string { return f.file }

// Key returns the dotted key at fault, such as "route[1].path", or an empty string for the whole file.
func (f Fault) Key() string { return f.key }

// Detail says what is wrong and what is allowed.
func (f Fault) Detail() string { return f.detail }

// String returns the fault in one line: file, line if known, key, detail.
func (f Fault) String() string {
	location := f.file
	if f.line > 0 {
		location = fmt.Sprintf("%s:%d", f.file, f.line)
	}
	if f.key == "" {
		return location + ": " + f.detail
	}
	return location + ": " + f.key + ": " + f.detail
}

// FaultsError holds every fault of a document.
type FaultsError struct {
	faults []Fault
}

// Faults returns the faults in the order in which the keys were read. The caller must not change it.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error returns all faults, one a line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.faults))
	for i, f := range e.faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
