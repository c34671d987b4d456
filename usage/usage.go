// Package usage counts the requests of organisations at a node, for operators. It decides nothing.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"
)

const (
	// Loudest is the number of organisations that are listed, and that have counters of their own. The others are summed.
	Loudest = 64
	// maxRows bounds the memory: organisations that are first seen when so many are counted are summed from the start. A
	// row takes some 300 bytes.
	maxRows = 16384
)

// Row holds the requests of an organisation, or of the sum of several.
type Row struct {
	Name          string // "" for a sum
	Organisations int    // 1, or how many are summed
	Asked         int64  // authenticated requests
	Answered      int64  // by servers, whatever the status
	Waiting       int64  // for an answer now
	Refused       map[string]int64
}

// Counts counts requests by organisation. It is safe for concurrent use.
type Counts struct {
	mu        sync.Mutex
	rows      map[string]*Row
	labelled  map[string]*Row // organisations with counters of their own, as last published
	published Row             // sum of the others, as last published
}

// New returns counts without requests.
func New() *Counts {
	return &Counts{rows: make(map[string]*Row), labelled: make(map[string]*Row)}
}

// Begin counts a request of an organisation.
func (c *Counts) Begin(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(name)
	r.Asked++
	r.Waiting++
}

// End counts the end of a request for which Begin was called: answered, or refused for a reason.
func (c *Counts) End(name string, answered bool, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(name)
	r.Waiting--
	if answered {
		r.Answered++
		return
	}
	if r.Refused == nil {
		r.Refused = make(map[string]int64)
	}
	r.Refused[reason]++
}

// row returns the row of an organisation, or that of the sum if there are too many. The caller holds mu.
func (c *Counts) row(name string) *Row {
	if r := c.rows[name]; r != nil {
		return r
	}
	if len(c.rows) >= maxRows {
		name = ""
	}
	if c.rows[name] == nil {
		c.rows[name] = &Row{Name: name, Organisations: 1}
	}
	return c.rows[name]
}

// List returns the rows of the loudest organisations, by descending number of requests, and the sum of the others if there
// are any.
func (c *Counts) List() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	loudest := c.loudest()
	rows := make([]Row, 0, len(loudest)+1)
	named := make(map[string]*Row, len(loudest))
	for _, r := range loudest {
		named[r.Name] = r
		rows = append(rows, *r)
		rows[len(rows)-1].Refused = maps.Clone(r.Refused)
	}
	if rest := c.sumOthers(named); rest.Organisations > 0 {
		rows = append(rows, rest)
	}
	return rows
}

// loudest returns the rows with the most requests. The caller holds mu.
func (c *Counts) loudest() []*Row {
	rows := make([]*Row, 0, len(c.rows))
	for name, r := range c.rows {
		if name != "" {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *Row) int { return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Name, b.Name)) })
	return rows[:min(len(rows), Loudest)]
}

// sumOthers returns the sum of the rows that are not named. The caller holds mu.
func (c *Counts) sumOthers(named map[string]*Row) Row {
	rest := Row{Refused: make(map[string]int64)}
	for name, r := range c.rows {
		if named[name] != nil {
			continue
		}
		rest.Organisations++
		rest.Asked += r.Asked
		rest.Answered += r.Answered
		rest.Waiting += r.Waiting
		for reason, n := range r.Refused {
			rest.Refused[reason] += n
		}
	}
	return rest
}

// otherLabel is the label of the counters of organisations without counters of their own.
const otherLabel = "other"

// Publish updates the counters organisation_requests by organisation and ending. Counters can't be withdrawn, so the
// loudest organisations at each call receive some until Loudest have them.
func (c *Counts) Publish(scope tally.Scope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rows) == 0 {
		return
	}
	for name, published := range c.labelled {
		publish(scope, name, published, *c.rows[name])
	}
	rest := c.sumOthers(c.labelled)
	publish(scope, otherLabel, &c.published, rest)
	for _, r := range c.loudest() {
		if c.labelled[r.Name] == nil && len(c.labelled) < Loudest {
			c.labelled[r.Name] = &Row{Asked: r.Asked, Answered: r.Answered, Refused: maps.Clone(r.Refused)}
		}
	}
	c.published = c.sumOthers(c.labelled)
}

// publish adds what a row has more than when it was published last, and records that.
func publish(scope tally.Scope, label string, last *Row, now Row) {
	add := func(ending string, n int64) {
		if n > 0 {
			scope.Tagged(map[string]string{"organisation": label, "ending": ending}).Counter("organisation_requests").Inc(n)
		}
	}
	add("answered", now.Answered-last.Answered)
	for reason, n := range now.Refused {
		add(reason, n-last.Refused[reason])
	}
	last.Answered, last.Refused = now.Answered, maps.Clone(now.Refused)
}
