package main

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/command"
	"github.com/bambooknot/bambooknot/recordfile"
	"github.com/bambooknot/bambooknot/setting"
)

var (
	codeBlock  = regexp.MustCompile("(?s)```([a-z]+)\n(.*?)```")
	metricName = regexp.MustCompile(`bambooknot_([a-z_]+[a-z])`)
	longFlag   = regexp.MustCompile(`--[a-z][a-z-]*`)
	commandRow = regexp.MustCompile(`(?m)^  ([a-z]+)  +`)
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z][A-Za-z]+`)
	sampleKey  = regexp.MustCompile(`(?m)^(?:# )?([a-z_]+) = `)
)

// metricLiterals maps metric names that do not occur as one literal in the source, as they are composed or are a common
// prefix, to the literal that is there.
var metricLiterals = map[string]string{
	"ingress_calls": `SubScope("ingress")`,
	"fleet":         `"fleet_nodes"`,
}

// pages returns the Markdown pages by path.
func pages(t *testing.T) map[string]string {
	found := make(map[string]string)
	for _, pattern := range []string{"doc/*.md", "docs/*.md", "README.md"} {
		paths, err := filepath.Glob(pattern)
		qt.Assert(t, err, qt.IsNil)
		for _, path := range paths {
			found[path] = readFile(t, path)
		}
	}
	return found
}

func readFile(t *testing.T, path string) string {
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	return string(data)
}

// help returns the output of --help of a command, or of the program without args. It is empty for an unknown command.
func help(args ...string) string {
	var out, errOut bytes.Buffer
	if command.Run(append(args, "--help"), &out, &errOut) != command.ExitOK {
		return ""
	}
	return out.String()
}

// TestTOMLInPages parses each TOML example as the kind of file that its first line names.
func TestTOMLInPages(t *testing.T) {
	examples := 0
	for path, text := range pages(t) {
		for _, block := range codeBlock.FindAllStringSubmatch(text, -1) {
			if block[1] != "toml" {
				continue
			}
			var err error
			switch kind, _, _ := strings.Cut(block[2], "\n"); kind {
			case "# settings":
				_, err = setting.Parse(path, []byte(block[2]))
			case "# sidecar":
				_, err = setting.ParseSidecar(path, []byte(block[2]))
			case "# records":
				_, err = recordfile.Parse(path, []byte(block[2]))
			default:
				t.Errorf("%s: TOML example starts with %q; allowed are # settings, # sidecar and # records", path, kind)
			}
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s", path))
			examples++
		}
	}
	qt.Check(t, examples >= 7, qt.IsTrue, qt.Commentf("%d examples", examples))
}

// TestCommandsInPages checks that each command line in an example names a command and flags that exist.
func TestCommandsInPages(t *testing.T) {
	lines := 0
	for path, text := range pages(t) {
		for _, block := range codeBlock.FindAllStringSubmatch(text, -1) {
			for line := range strings.Lines(block[2]) {
				words := strings.Fields(line)
				if block[1] != "sh" || len(words) < 2 || words[0] != "bambooknot" {
					continue
				}
				usage := help(words[1])
				qt.Check(t, usage, qt.Not(qt.Equals), "", qt.Commentf("%s: %s", path, line))
				for _, flag := range longFlag.FindAllString(line, -1) {
					qt.Check(t, usage, qt.Matches, `(?s).*`+flag+`[=\s].*`, qt.Commentf("%s: %s", path, line))
				}
				lines++
			}
		}
	}
	qt.Check(t, lines >= 10, qt.IsTrue, qt.Commentf("%d lines", lines))
}

// TestManualPages checks that each command has a manual page, that the overview refers to it and that it names all flags.
func TestManualPages(t *testing.T) {
	overview := readFile(t, "doc/bambooknot.1.md")
	rows := commandRow.FindAllStringSubmatch(strings.SplitN(help(), "Available commands:", 2)[1], -1)
	qt.Assert(t, len(rows) >= 9, qt.IsTrue)
	for _, row := range rows {
		qt.Check(t, overview, qt.Contains, "bambooknot-"+row[1]+".1.md")
		page := readFile(t, "doc/bambooknot-"+row[1]+".1.md")
		for _, flag := range longFlag.FindAllString(help(row[1]), -1) {
			if flag != "--help" {
				qt.Check(t, page, qt.Contains, flag, qt.Commentf("%s", row[1]))
			}
		}
	}
}

// TestSettingsPage checks that the manual page names each key of the sample settings.
func TestSettingsPage(t *testing.T) {
	page := readFile(t, "doc/bambooknot-settings.5.md")
	keys := sampleKey.FindAllStringSubmatch(readFile(t, "doc/examples/node.toml"), -1)
	qt.Assert(t, len(keys) > 15, qt.IsTrue)
	for _, key := range keys {
		qt.Check(t, page, qt.Contains, "`"+key[1]+"`")
	}
}

// TestSidecarSettingsPage checks that the manual page names each key of the template from which the platform renders the
// settings of a sidecar.
func TestSidecarSettingsPage(t *testing.T) {
	page := readFile(t, "doc/bambooknot-sidecar-settings.5.md")
	keys := sampleKey.FindAllStringSubmatch(readFile(t, "deploy/sidecar.toml.tmpl"), -1)
	qt.Assert(t, len(keys) >= 18, qt.IsTrue)
	for _, key := range keys {
		qt.Check(t, page, qt.Contains, "`"+key[1]+"`")
	}
}

// TestGoInPages checks that each Go example is a verbatim part of the file that its first line names.
func TestGoInPages(t *testing.T) {
	examples := 0
	for path, text := range pages(t) {
		for _, block := range codeBlock.FindAllStringSubmatch(text, -1) {
			if block[1] != "go" {
				continue
			}
			file, code, _ := strings.Cut(block[2], "\n")
			source := readFile(t, strings.TrimPrefix(file, "// "))
			qt.Check(t, strings.Contains(source, code), qt.IsTrue, qt.Commentf("%s: %s", path, file))
			qt.Check(t, strings.TrimSpace(code), qt.Not(qt.Equals), "", qt.Commentf("%s: %s", path, file))
			examples++
		}
	}
	qt.Check(t, examples >= 4, qt.IsTrue, qt.Commentf("%d examples", examples))
}

// TestTestNamesInPages checks that each name of a test or fuzz target in a page is the name of a function in a test file,
// or a prefix of one.
func TestTestNamesInPages(t *testing.T) {
	source := sources(t, func(path string) bool { return strings.HasSuffix(path, "_test.go") })
	names := 0
	for path, text := range pages(t) {
		for _, name := range testName.FindAllString(text, -1) {
			qt.Check(t, source, qt.Contains, "\nfunc "+name, qt.Commentf("%s", path))
			names++
		}
	}
	qt.Check(t, names >= 60, qt.IsTrue, qt.Commentf("%d names", names))
}

// sources returns the concatenated Go files whose paths include accepts.
func sources(t *testing.T, include func(path string) bool) string {
	var all strings.Builder
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && include(path) {
			all.WriteString(readFile(t, path))
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return all.String()
}

// TestMetricsInPages checks that each metric named in a page occurs in the source outside of tests.
func TestMetricsInPages(t *testing.T) {
	source := sources(t, func(path string) bool { return !strings.HasSuffix(path, "_test.go") })
	for path, text := range pages(t) {
		for _, name := range metricName.FindAllStringSubmatch(text, -1) {
			literal := `"` + name[1] + `"`
			if other, ok := metricLiterals[name[1]]; ok {
				literal = other
			}
			qt.Check(t, source, qt.Contains, literal, qt.Commentf("%s", path))
		}
	}
}
