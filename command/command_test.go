package command_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bambooknot/bambooknot/command"
)

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		want int
	}{
		{"version", []string{"version"}, command.ExitOK},
		{"help", []string{"--help"}, command.ExitOK},
		{"help of a command", []string{"version", "--help"}, command.ExitOK},
		{"unknown command", []string{"vanish"}, command.ExitUsage},
		{"unknown flag", []string{"version", "--vanish"}, command.ExitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			qt.Assert(t, command.Run(test.args, &out, &errOut), qt.Equals, test.want, qt.Commentf("%s%s", &out, &errOut))
		})
	}
}
