// Package tomldoc reads TOML documents key by key and collects all faults instead of stopping at the first:
// wrong types, values out of range, missing keys and unknown keys, which are those that were never read.
package tomldoc

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// MaxSize is the largest size in bytes of a document.
const MaxSize = 4 << 20

// Document is a parsed TOML document with the faults found so far.
type Document struct {
	file       string
	root       *Table
	faults     []Fault
	faultyKeys map[string]bool // dotted keys with a fault
}

// Load parses the file at path. If the file cannot be read or parsed, the error is a *FaultsError.
func Load(path string) (*Document, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, newFaultsError(path, 0, err.Error())
	}
	if info.Size() > MaxSize {
		return nil, newFaultsError(path, 0, fmt.Sprintf("%d bytes; allowed are %d", info.Size(), MaxSize))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, newFaultsError(path, 0, err.Error())
	}
	return Parse(path, data)
}

// Parse parses data. Faults give file as its name. If data is not TOML, the error is a *FaultsError.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, newFaultsError(file, 0, fmt.Sprintf("%d bytes; allowed are %d", len(data), MaxSize))
	}
	var values map[string]any
	if _, err := toml.Decode(string(data), &values); err != nil {
		return nil, newSyntaxError(file, err)
	}
	d := &Document{file: file, faultyKeys: make(map[string]bool)}
	d.root = &Table{doc: d, values: values, readKeys: make(map[string]bool)}
	return d, nil
}

func newSyntaxError(file string, err error) error {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return newFaultsError(file, parseErr.Position.Line, "not TOML: "+parseErr.Message)
	}
	return newFaultsError(file, 0, "not TOML: "+err.Error())
}

func newFaultsError(file string, line int, detail string) error {
	return &FaultsError{faults: []Fault{{file: file, line: line, detail: detail}}}
}

// Root returns the top-level table.
func (d *Document) Root() *Table { return d.root }

// Err returns a *FaultsError with all faults, or nil. It reports keys that have not been read as unknown.
func (d *Document) Err() error {
	d.root.reportUnread()
	if len(d.faults) == 0 {
		return nil
	}
	return &FaultsError{faults: d.faults}
}
