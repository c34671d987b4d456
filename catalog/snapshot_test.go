package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/catalog"
	"github.com/bambooknot/bambooknot/record"
)

func TestMatch(t *testing.T) {
	records := make(map[record.ID]record.Record)
	for _, r := range []record.Record{
		record.NewService(record.Schema1, "narudzbe", 18),
		record.NewRoute("root", "/", "narudzbe", true),
		record.NewRoute("orders", "/orders", "narudzbe", false),
		record.NewRoute("dir", "/dir/", "narudzbe", true),
		record.NewRoute("status", "/orders/status", "narudzbe", true),
	} {
		records[r.ID()] = r
	}
	s := catalog.NewSnapshot(7, record.Schema1, records)
	for path, want := range map[string]string{
		"/":                "root",
		"/orders":          "orders",
		"/orders/":         "orders",
		"/ordersother":     "root",
		"/orders/status":   "status",
		"/orders/status/3": "status",
		"/orders/a/b/c/d":  "orders",
		"/dir":             "root",
		"/dir/":            "dir",
		"/dir/x/y":         "dir",
		"//":               "root",
	} {
		r, ok := s.Match(path)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, r.Name(), qt.Equals, want, qt.Commentf("%s", path))
	}
}

func TestMatchNothing(t *testing.T) {
	r := record.NewRoute("orders", "/orders", "narudzbe", false)
	s := catalog.NewSnapshot(7, record.Schema1, map[record.ID]record.Record{r.ID(): r})
	for _, path := range []string{"", "/", "/order", "/ordersother/x", "orders"} {
		_, ok := s.Match(path)
		qt.Check(t, ok, qt.IsFalse, qt.Commentf("%s", path))
	}
}
