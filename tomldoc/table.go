package tomldoc

import (
	"fmt"
	"slices"
	"strings"
)

// Table reads a table of a document. Each method that reads a key marks it as known.
type Table struct {
	doc           *Document
	path          string
	values        map[string]any
	readKeys      map[string]bool
	requestedKeys []string // keys of readKeys, in the order of their first read
	children      []*Table
}

// Path returns the dotted key of the table, empty for the root.
func (t *Table) Path() string { return t.path }

// Has reports whether the key is set. It does not mark the key as known.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// AddFault records a fault in a key of the table, or in the whole table if key is empty.
func (t *Table) AddFault(key, format string, args ...any) {
	f := Fault{file: t.doc.file, key: t.keyPath(key), detail: fmt.Sprintf(format, args...)}
	t.doc.faults = append(t.doc.faults, f)
	t.doc.faultyKeys[f.key] = true
}

// HasFault reports whether a fault in the key has been recorded.
func (t *Table) HasFault(key string) bool { return t.doc.faultyKeys[t.keyPath(key)] }

// keyPath returns the dotted key of a key of the table, or of the table itself if key is empty.
func (t *Table) keyPath(key string) string {
	if t.path == "" || key == "" {
		return t.path + key
	}
	return t.path + "." + key
}

// lookup returns the value of a key and marks the key as known.
func (t *Table) lookup(key string) (any, bool) {
	if !t.readKeys[key] {
		t.requestedKeys = append(t.requestedKeys, key)
	}
	t.readKeys[key] = true
	v, ok := t.values[key]
	return v, ok
}

// Require records a fault if the key is not set. allowed describes the values that the key may have.
func (t *Table) Require(key, allowed string) {
	if !t.Has(key) {
		t.AddFault(key, "missing; needed is %s", allowed)
	}
}

// Table returns the table at key. It is empty if the key is not set.
func (t *Table) Table(key string) *Table {
	v, ok := t.lookup(key)
	values, isTable := v.(map[string]any)
	if ok && !isTable {
		t.AddFault(key, "%s; allowed is a table", formatValue(v))
	}
	return t.newChild(t.keyPath(key), values)
}

// Tables returns the tables of the array of tables at key, none if the key is not set.
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

// parseTables returns the tables of an array of tables, which the decoder represents differently if it is written
// as an array of inline tables.
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

// reportUnread records a fault for each key of the table and its children that has not been read.
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
