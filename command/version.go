package command

import "fmt"

// ReleaseVersion is the version of this source tree.
const ReleaseVersion = "0.1.0"

type versionCommand struct{}

func init() {
	Register("version", "Print the version", "Prints the version of the program.",
		func() Runner { return &versionCommand{} })
}

func (*versionCommand) Run(env Env, _ []string) int {
	fmt.Fprintln(env.Out, "bambooknot", ReleaseVersion)
	return ExitOK
}
