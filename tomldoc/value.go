package tomldoc

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// formatValue describes a value for the text of a fault.
func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "an array"
	}
	return fmt.Sprint(v)
}

// Text returns a string, or fallback if the key is not set.
func (t *Table) Text(key, fallback string) string {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	text, isText := v.(string)
	if !isText {
		t.AddFault(key, "%s; allowed is a string", formatValue(v))
		return fallback
	}
	return text
}

// Match returns a string that valid accepts, or an empty string. allowed describes what valid accepts.
func (t *Table) Match(key string, valid func(string) bool, allowed string) string {
	v, ok := t.lookup(key)
	if !ok {
		return ""
	}
	text, isText := v.(string)
	if !isText || !valid(text) {
		t.AddFault(key, "%s; allowed is %s", formatValue(v), allowed)
		return ""
	}
	return text
}

// Choice returns one of the allowed strings, or fallback if the key is not set.
func (t *Table) Choice(key, fallback string, allowed ...string) string {
	text := t.Text(key, fallback)
	if t.Has(key) && !slices.Contains(allowed, text) {
		t.AddFault(key, "%q; allowed are %s", text, strings.Join(allowed, ", "))
		return fallback
	}
	return text
}

// Bool returns a boolean, or fallback if the key is not set.
func (t *Table) Bool(key string, fallback bool) bool {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	b, isBool := v.(bool)
	if !isBool {
		t.AddFault(key, "%s; allowed are true and false", formatValue(v))
		return fallback
	}
	return b
}

// Int returns an integer between low and high, or fallback if the key is not set.
func (t *Table) Int(key string, fallback, low, high int64) int64 {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	n, isInt := v.(int64)
	if !isInt || n < low || n > high {
		t.AddFault(key, "%s; allowed is a whole number from %d to %d", formatValue(v), low, high)
		return fallback
	}
	return n
}

// AnyInt returns an integer of any value, or fallback if the key is not set.
func (t *Table) AnyInt(key string, fallback int) int {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	n, isInt := v.(int64)
	if !isInt {
		t.AddFault(key, "%s; allowed is a whole number", formatValue(v))
		return fallback
	}
	return int(n)
}

// AnyFloat returns a number of any value, or fallback if the key is not set.
func (t *Table) AnyFloat(key string, fallback float64) float64 {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	f, isNumber := parseNumber(v)
	if !isNumber {
		t.AddFault(key, "%s; allowed is a number", formatValue(v))
		return fallback
	}
	return f
}

// AnyDuration returns a duration of any length, written as "250ms" or "1m30s", or fallback if the key is not
// set.
func (t *Table) AnyDuration(key string, fallback time.Duration) time.Duration {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	d, isDuration := parseDuration(v)
	if !isDuration {
		t.AddFault(key, "%s; allowed is a duration, such as \"250ms\"", formatValue(v))
		return fallback
	}
	return d
}

func parseDuration(v any) (time.Duration, bool) {
	text, isText := v.(string)
	d, err := time.ParseDuration(text)
	return d, isText && err == nil
}

// Float returns a number between low and high, or fallback if the key is not set.
func (t *Table) Float(key string, fallback, low, high float64) float64 {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	f, isNumber := parseNumber(v)
	if !isNumber || math.IsNaN(f) || f < low || f > high {
		t.AddFault(key, "%s; allowed is a number from %v to %v", formatValue(v), low, high)
		return fallback
	}
	return f
}

func parseNumber(v any) (float64, bool) {
	switch n := v.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}

// Duration returns a duration between low and high, written as "250ms" or "1m30s", or fallback if the key is
// not set.
func (t *Table) Duration(key string, fallback, low, high time.Duration) time.Duration {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	d, isDuration := parseDuration(v)
	if !isDuration || d < low || d > high {
		t.AddFault(key, "%s; allowed is a duration from %q to %q, such as \"250ms\"", formatValue(v), low, high)
		return fallback
	}
	return d
}

// AddrPort returns an IP address with a port other than zero, or fallback if the key is not set. Host names are
// faults, as nodes resolve no names, and so are unspecified addresses such as 0.0.0.0.
func (t *Table) AddrPort(key string, fallback netip.AddrPort) netip.AddrPort {
	v, ok := t.lookup(key)
	if !ok {
		return fallback
	}
	addr, isAddr := parseAddrPort(v)
	if !isAddr {
		t.AddFault(key, "%s; allowed is an IP number with a port from 1 to 65535, such as \"127.0.0.1:7101\"", formatValue(v))
		return fallback
	}
	return addr
}

func parseAddrPort(v any) (netip.AddrPort, bool) {
	text, isText := v.(string)
	addr, err := netip.ParseAddrPort(text)
	if !isText || err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return netip.AddrPort{}, false
	}
	return addr, true
}

// AddrPorts returns the addresses of an array of up to limit items, each in the form that AddrPort accepts.
func (t *Table) AddrPorts(key string, limit int) []netip.AddrPort {
	items := t.array(key, limit)
	addrs := make([]netip.AddrPort, 0, len(items))
	for i, item := range items {
		addr, ok := parseAddrPort(item)
		if !ok {
			t.AddFault(fmt.Sprintf("%s[%d]", key, i), "%s; allowed is an IP number with a port from 1 to 65535", formatValue(item))
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// Texts returns the strings of an array of up to limit items.
func (t *Table) Texts(key string, limit int) []string {
	items := t.array(key, limit)
	texts := make([]string, 0, len(items))
	for i, item := range items {
		text, ok := item.(string)
		if !ok {
			t.AddFault(fmt.Sprintf("%s[%d]", key, i), "%s; allowed is a string", formatValue(item))
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

func (t *Table) array(key string, limit int) []any {
	v, ok := t.lookup(key)
	if !ok {
		return nil
	}
	items, isList := v.([]any)
	if !isList || len(items) > limit {
		t.AddFault(key, "%s; allowed is an array of up to %d items", formatValue(v), limit)
		return nil
	}
	return items
}
