package command

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "3")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
