package tomldoc

import (
	"fmt"
	"slices"
	"strings"
)

// Table reads one table of a document. Every method that reads a key marks it as known.
type Table struct {
	doc           *Document
	path          string
	values        map[string]any
	readKeys      map[string]bool
	requestedKeys []string // keys asked for, in that order
	children      []*Table
}

// Path returns the dotted key of the table, empty for the root.
func (t *Table) Path() string { return t.path }

// Has tells whether the key is set. It does not mark the key as known.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// AddFault notes a fault in a key of the table, or in the table as a whole when key is empty.
func (t *Table) AddFault(key, format string, args ...any) {
	f := Fault{file: t.doc.file, key: t.keyPath(key), detail: fmt.Sprintf(format, args...)}
	t.doc.faults = append(t.doc.faults, f)
	t.doc.faultyKeys[f.key] = true
}

// HasFault tells whether a fault in the key has been noted.
func (t *Table) HasFault(key string) bool { return t.doc.faultyKeys[t.keyPath(key)] }

func (t *Table) keyPath(key string) string {
	if t.path == "" || key == "" {
		return t.path + key
	}
	return t.path + "." + key
}

func (t *Table) lookup(key string) (any, bool) {
	if !t.readKeys[key] {
		t.requestedKeys = append(t.requestedKeys, key)
	}
	t.readKeys[key] = true
	v, ok := t.values[key]
	return v, ok
}

// Require notes a fault when the key is not set. allowed says what the key may hold.
func (t *Table) Require(key, allowed string) {
	if !t.Has(key) {
		t.AddFault(key, "missing; needed is %s", allowed)
	}
}

// Table returns the table below key. It is empty when the key is not set.
func (t *Table) Table(key string) *Table {
	v, ok := t.lookup(key)
	values, isTable := v.(map[string]any)
	if ok && !isTable {
		t.AddFault(key, "%s; allowed is a table", formatValue(v))
	}
	return t.newChild(t.keyPath(key), values)
}

// Tables returns the tables of an array of tables, none when the key is not set.
func (t *Table) Tables(key string) []*Table {
	v, ok := t.lookup(key)
	if !ok {
		return nil
	}
	list, isList := parseTables(v)
	if !isList {
		t.AddFault(key, "%s; allowed is an array of tables, written as [[%s]]", formatValue(v), key)
		return nil
	}
	tables := make([]*Table, 0, len(list))
	for i, values := range list {
		tables = append(tables, t.newChild(fmt.Sprintf("%s[%d]", t.keyPath(key), i), values))
	}
	return tables
}

func parseTables(v any) ([]map[string]any, bool) {
	if list, ok := v.([]map[string]any); ok {
		return list, true
	}
	items, ok := v.([]any)
	if !ok {
		return nil, false
	}
	list := make([]map[string]any, 0, len(items))
	for _, item := range items {
		values, ok := item.(map[string]any)
		if !ok {
			return nil, false
		}
		list = append(list, values)
	}
	return list, true
}

func (t *Table) newChild(path string, values map[string]any) *Table {
	c := &Table{doc: t.doc, path: path, values: values, readKeys: make(map[string]bool)}
	t.children = append(t.children, c)
	return c
}

func (t *Table) reportUnread() {
	unread := make([]string, 0)
	for key := range t.values {
		if !t.readKeys[key] {
			unread = append(unread, key)
		}
	}
	slices.Sort(unread)
	for _, key := range unread {
		t.AddFault(key, "unknown key; allowed are %s", strings.Join(t.requestedKeys, ", "))
		t.readKeys[key] = true
	}
	for _, c := range t.children {
		c.reportUnread()
	}
}
