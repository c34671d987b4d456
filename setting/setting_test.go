package setting_test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooknot/bambooknot/admission"
	"github.com/bambooknot/bambooknot/ledger"
	"github.com/bambooknot/bambooknot/retry"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/tomldoc"
)

const sample = "../doc/examples/node.toml"

func TestSample(t *testing.T) {
	s, err := setting.Load(sample)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Fleet().Name(), qt.Equals, "kovani-dvor")
	qt.Check(t, string(s.Fleet().LogRegion()), qt.Equals, "jadran")
	qt.Check(t, s.Fleet().Hints(), qt.HasLen, 2)
	qt.Check(t, string(s.Node().Place().FailureDomain()), qt.Equals, "split")
	qt.Check(t, s.Node().PeerAddress(), qt.Equals, netip.MustParseAddrPort("10.1.0.12:7100"))
	qt.Check(t, s.Listen().Operators(), qt.Equals, netip.MustParseAddrPort("127.0.0.1:7104"))
	qt.Check(t, s.Log().AppendTimeout(), qt.Equals, 3*time.Second)
	qt.Check(t, s.Logging().Level(), qt.Equals, "info")
	qt.Check(t, s.Call().RetryShare(), qt.Equals, retry.DefaultShare)
	qt.Check(t, s.Call().KeyTTL(), qt.Equals, ledger.DefaultTTL)
	qt.Check(t, s.Call().MaxKeys(), qt.Equals, ledger.DefaultMaxKeys)
	qt.Check(t, s.Call().MaxResponseBytes(), qt.Equals, ledger.DefaultMaxResponseBytes)
	qt.Check(t, s.Call().QueueWait(), qt.Equals, admission.DefaultMaxWait)
}

// TestSampleDefaults checks that each default in a comment of the example file is the default of the code.
func TestSampleDefaults(t *testing.T) {
	data, err := os.ReadFile(sample)
	qt.Assert(t, err, qt.IsNil)
	shown := regexp.MustCompile(`(?m)^# ([a-z_]+ = )`).ReplaceAllString(string(data), "$1")
	qt.Assert(t, shown, qt.Not(qt.Equals), string(data))
	implied, err := setting.Parse("implied", data)
	qt.Assert(t, err, qt.IsNil)
	written, err := setting.Parse("written", []byte(shown))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, fmt.Sprint(written), qt.Equals, fmt.Sprint(implied))
}

func TestFaults(t *testing.T) {
	valid, err := os.ReadFile(sample)
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct {
		name, old, new string
		key, detail    string
	}{
		{"missing name", `name = "kovani-dvor"`, ``, "fleet.name", "missing"},
		{"upper-case name", `"kovani-dvor"`, `"Kovani"`, "fleet.name", "lower-case"},
		{"host name", `"10.1.0.12:7100"`, `"localhost:7100"`, "node.peer", "IP number"},
		{"port zero", `"10.1.0.12:7100"`, `"10.1.0.12:0"`, "node.peer", "from 1 to 65535"},
		{"no address", `"10.1.0.12:7100"`, `"0.0.0.0:7100"`, "node.peer", "IP number"},
		{"bad hint", `"10.2.0.11:7100"`, `7`, "fleet.hints[1]", "IP number"},
		{"duration without unit", `# drain_timeout = "30s"`, `drain_timeout = 30`, "node.drain_timeout", "duration"},
		{"duration too long", `# drain_timeout = "30s"`, `drain_timeout = "11m"`, "node.drain_timeout", "10m0s"},
		{"remote operators", `# operators = "127.0.0.1:7104"`, `operators = "10.1.0.12:7104"`, "listen.operators", "allow_remote"},
		{"remote server", `# server = "127.0.0.1:7102"`, `server = "10.1.0.12:7102"`, "listen.server", "loopback"},
		{"address twice", `"10.1.0.12:7101"`, `"10.1.0.12:7100"`, "listen.callers", "node.peer"},
		{"share above one", `# retry_share = 0.1`, `retry_share = 1.5`, "call.retry_share", "from 0.001 to 1"},
		{"share not a number", `# retry_share = 0.1`, `retry_share = nan`, "call.retry_share", "from 0.001 to 1"},
		{"fraction of a key", `# keys = 65536`, `keys = 2048.5`, "call.keys", "whole number"},
		{"unknown level", `# level = "info"`, `level = "loud"`, "logging.level", "debug, info, warn, error"},
		{"unknown key", `# level = "info"`, `colour = true`, "logging.colour", "allowed are level"},
		{"unknown section", `[logging]`, `[loging]`, "loging", "allowed are fleet, node, listen"},
		{"section not a table", "[logging]", "[[logging]]", "logging", "allowed is a table"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(string(valid), test.old, test.new, 1)
			qt.Assert(t, text, qt.Not(qt.Equals), string(valid))
			_, err := setting.Parse("node.toml", []byte(text))
			var faults *tomldoc.FaultsError
			qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
			qt.Assert(t, faults.Faults(), qt.HasLen, 1, qt.Commentf("%v", err))
			qt.Check(t, faults.Faults()[0].File(), qt.Equals, "node.toml")
			qt.Check(t, faults.Faults()[0].Key(), qt.Equals, test.key)
			qt.Check(t, faults.Faults()[0].Detail(), qt.Contains, test.detail)
		})
	}
}

func TestSyntaxFaultNamesLine(t *testing.T) {
	_, err := setting.Parse("node.toml", []byte("[fleet]\nname = \n"))
	qt.Assert(t, err, qt.ErrorMatches, `node.toml:2: not TOML: .*`)
	_, err = setting.Load("no-such-file.toml")
	qt.Assert(t, err, qt.ErrorMatches, `no-such-file.toml: .*`)
}

// breakableKeys are the keys whose values the properties replace by invalid ones.
var breakableKeys = []string{
	"fleet.name", "fleet.log_region", "node.region", "node.failure_domain", "node.peer",
	"listen.callers", "listen.observe", "log.address",
}

type parser func(file string, data []byte) (setting.Settings, error)

// reportsExactly replaces the values of the broken keys by an invalid one and reports whether parse finds a fault for
// exactly these keys.
func reportsExactly(parse parser, valid string, broken []string) bool {
	lines := strings.Split(valid, "\n")
	section := ""
	for i, line := range lines {
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
		}
		key, _, _ := strings.Cut(line, " = ")
		if slices.Contains(broken, section+"."+key) {
			lines[i] = key + ` = "§"`
		}
	}
	_, err := parse("node.toml", []byte(strings.Join(lines, "\n")))
	var faults *tomldoc.FaultsError
	errors.As(err, &faults)
	var found []string
	if faults != nil {
		for _, f := range faults.Faults() {
			found = append(found, f.Key())
		}
	}
	slices.Sort(found)
	slices.Sort(broken)
	return slices.Equal(found, broken)
}

var breakableKeySubsets = rapid.SliceOfDistinct(rapid.SampledFrom(breakableKeys), rapid.ID[string])

func TestAllFaultsAtOnce(t *testing.T) {
	valid, err := os.ReadFile(sample)
	qt.Assert(t, err, qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		broken := breakableKeySubsets.Draw(t, "broken")
		if !reportsExactly(setting.Parse, string(valid), broken) {
			t.Fatalf("faults other than %v", broken)
		}
	})
}

func TestAllFaultsAtOnceDetectsStoppingParser(t *testing.T) {
	valid, err := os.ReadFile(sample)
	qt.Assert(t, err, qt.IsNil)
	stopsAtFirst := func(file string, data []byte) (setting.Settings, error) {
		s, err := setting.Parse(file, data)
		var faults *tomldoc.FaultsError
		if errors.As(err, &faults) && len(faults.Faults()) > 1 {
			return s, errors.New("only one fault")
		}
		return s, err
	}
	detected := false
	for seed := range 50 {
		detected = detected || !reportsExactly(stopsAtFirst, string(valid), breakableKeySubsets.Example(seed))
	}
	qt.Assert(t, detected, qt.IsTrue)
}
