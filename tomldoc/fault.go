package tomldoc

import (
	"fmt"
	"strings"
)

// Fault is a single error in a document.
type Fault struct {
	file   string
	line   int // counted from 1; zero if unknown
	key    string
	detail string
}

// File returns the name of the file.
func (f Fault) File() string { return f.file }

// Key returns the dotted key of the faulty value, such as "route[1].path", or an empty string if the fault
// concerns the whole file.
func (f Fault) Key() string { return f.key }

// Detail describes what is wrong and what is allowed.
func (f Fault) Detail() string { return f.detail }

// String returns the fault as one line: file, line if known, key, detail.
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

// FaultsError holds all faults of a document.
type FaultsError struct {
	faults []Fault
}

// Faults returns the faults in the order in which the keys were read. The caller must not modify the slice.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error returns all faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.faults))
	for i, f := range e.faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
