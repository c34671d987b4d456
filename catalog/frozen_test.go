package catalog

import (
	"bufio"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/codec"
	"github.com/bambooknot/bambooknot/record"
)

// frozenLog is a golden file. Each line contains an entry in hex, followed by the result of applying it.
const frozenLog = "testdata/frozen.log"

var updateFrozen = flag.Bool("update-frozen", false, "rewrite "+frozenLog+"; allowed only before the release of a new schema level")

// TestDecisionsAreFrozen applies entries written by an earlier build. A difference means that nodes of different
// releases would decide differently on the same log.
func TestDecisionsAreFrozen(t *testing.T) {
	if *updateFrozen {
		writeFrozen(t)
	}
	c := qt.New(t)
	file, err := os.Open(frozenLog)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	s := NewWithSchema(schema3)
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text, want, _ := strings.Cut(lines.Text(), " ")
		data, err := hex.DecodeString(text)
		c.Assert(err, qt.IsNil)
		c.Assert(applyAndDescribe(c, s, data), qt.Equals, want)
	}
	c.Assert(lines.Err(), qt.IsNil)
	c.Assert(s.Head() > 20, qt.IsTrue)
}

// applyAndDescribe applies the next entry and describes the result, excluding the detail texts of faults.
func applyAndDescribe(c *qt.C, s *State, data []byte) string {
	result, err := s.Apply(record.NewEntry(s.Head(), data))
	c.Assert(err, qt.IsNil)
	outcome, _ := result.Outcome()
	return fmt.Sprintf("%s version=%d level=%d horizon=%d records=%d chain=%016x faults=%q",
		result.Kind(), s.Version(), s.Level(), s.Horizon(), s.Len(), s.Chain(), describeFaults(outcome))
}

func writeFrozen(t *testing.T) {
	f := newFixture(t)
	f.state = NewWithSchema(schema3)
	publishFrozen(f)
	s := NewWithSchema(schema3)
	var text strings.Builder
	for _, e := range f.log {
		fmt.Fprintf(&text, "%x %s\n", e.Data(), applyAndDescribe(f.c, s, e.Data()))
	}
	f.c.Assert(os.WriteFile(frozenLog, []byte(text.String()), 0o644), qt.IsNil)
}

func publishFrozen(f *fixture) {
	objective := record.NewObjective(0.999, 300_000_000)
	f.put(service("narudzbe"), service("radionica"), record.NewResource(1, "forge", 12.5, 3))
	f.put(record.NewRoute("catalogue", "/catalogue", "narudzbe", true), route("orders", "/orders/", "narudzbe"))
	f.put(record.NewRoute2("slots", "/slots", "radionica", false, 0, []string{"forge"}, objective))
	first := f.change(3, puts(service("radionica")))
	f.apply(first)
	f.apply(f.change(3, puts(service("radionica"))))
	f.apply(first)
	f.apply(f.change(4, nil, record.NewID(record.KindResource, "forge")))
	f.apply(f.change(4, nil, record.NewID(record.KindResource, "forge"), record.NewID(record.KindRoute, "slots")))
	f.apply(f.change(4, puts(record.NewResource(2, "forge", 1, 1))))
	f.apply(f.change(f.state.Version(), puts(service("a/b"), service(""), record.NewService(2, "šuma", -1))))
	f.apply(f.change(f.state.Version(), puts(route("x", "/orders/", "none"), route("y", "/y//z", "narudzbe"))))
	f.apply(f.change(f.state.Version(), puts(route("x", "/naplata-ščć", "narudzbe"))))
	f.apply(f.change(99, puts(service("later"))))
	f.apply(f.change(f.state.Version(), nil))
	f.apply(f.change(f.state.Version(), nil, record.NewID(record.KindRoute, "nowhere")))
	f.apply(f.change(f.state.Version(), puts(route("new", "/new", "narudzbe").WithSchema(schema3))))
	publishBounds(f)
	f.applyData(nil)
	f.applyData([]byte{1, 2, 3})
	f.applyData([]byte{77})
	malformed := f.id()
	f.applyData(append(append([]byte{1}, malformed[:]...), "not compressed"...))
	f.applyData(f.checkpoint(1)[0])
	f.apply(f.change(f.state.Version(), puts(service("risen"))).WithLevel(schema3))
	f.apply(f.change(f.state.Version(), nil).WithLevel(schema3))
}

// publishBounds publishes records at their limits and then beyond them.
func publishBounds(f *fixture) {
	for _, over := range []int{0, 1} {
		text := func(n int) string { return strings.Repeat("t", n+over) }
		timeout := func(d int) time.Duration { return time.Duration(d) }
		limits := make([]string, 16+over)
		var used []record.Record
		for i := range limits {
			limits[i] = fmt.Sprint("limit-", i)
			used = append(used, record.NewResource(2, limits[i], 1e6+float64(over), 1_000_000+over))
		}
		f.apply(f.change(f.state.Version(), append(used, record.NewService(2, text(128), 100_000+over), service("s"))))
		f.apply(f.change(f.state.Version(), puts(
			record.NewRoute2("long", "/"+text(1023), "s", true, 10*time.Minute+timeout(over), nil, record.NewObjective(0.5, 10*time.Minute+timeout(over))),
			record.NewRoute2("many", "/many", "s", true, time.Millisecond-timeout(over), limits, record.NewObjective(0.5+float64(over)/2, 1)),
		)))
	}
	f.apply(f.change(f.state.Version(), puts(service(strings.Repeat("n", codec.MaxRecord)))))
	var many []record.Record
	for i := range 256 {
		many = append(many, route("r", "/"+strings.Repeat("p", 1010)+fmt.Sprint(i), "s"))
	}
	f.apply(f.change(f.state.Version(), many))
}
