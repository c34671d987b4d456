// Package command implements the command line. The file of each command registers it.
package command

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Exit codes of every command.
const (
	ExitOK          = 0 // the command succeeded
	ExitFailure     = 1 // the command ran and failed
	ExitUsage       = 2 // bad arguments, settings or records; nothing was started or sent
	ExitRefused     = 3 // the fleet refused the change set, or the node refused the bridge
	ExitUnknown     = 4 // the outcome is not known; the command may be repeated, a publish under the same publish ID
	ExitUnavailable = 5 // the node or the log could not be reached; nothing was changed
	ExitTimeout     = 6 // the expected state was not reached in time; it may still be reached
)

// Env holds the output streams of a command.
type Env struct {
	Out io.Writer
	Err io.Writer
}

// Runner is a command: a struct of options, with the tags of go-flags, that can be run.
type Runner interface {
	// Run executes the command and returns its exit code.
	Run(env Env, args []string) int
}

// registration is a command as given to Register.
type registration struct {
	name      string
	short     string
	long      string
	newRunner func() Runner
}

var registrations []registration

// Register adds a command and is called from init functions. Blank lines separate the paragraphs of long; its
// other line breaks are replaced by spaces.
func Register(name, short, long string, makeRunner func() Runner) {
	registrations = append(registrations, registration{name: name, short: short, long: unwrapLines(long), newRunner: makeRunner})
}

func unwrapLines(text string) string {
	paragraphs := strings.Split(text, "\n\n")
	for i, p := range paragraphs {
		paragraphs[i] = strings.ReplaceAll(p, "\n", " ")
	}
	return strings.Join(paragraphs, "\n\n")
}

// Run parses the arguments, runs the command that they name and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	env := Env{Out: out, Err: errOut}
	parser := flags.NewNamedParser("bambooknot", flags.HelpFlag|flags.PassDoubleDash)
	runners := make(map[string]Runner, len(registrations))
	for _, e := range registrations {
		runner := e.newRunner()
		if _, err := parser.AddCommand(e.name, e.short, e.long, runner); err != nil {
			return failParse(env, err)
		}
		runners[e.name] = runner
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return failParse(env, err)
	}
	return runners[parser.Active.Name].Run(env, rest)
}

// failParse prints an error of the arguments, or the help text if it was requested, and returns the exit code.
func failParse(env Env, err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Fprintln(env.Out, err)
		return ExitOK
	}
	fmt.Fprintln(env.Err, err)
	return ExitUsage
}
