package command

import (
	"fmt"

	"github.com/bambooknot/bambooknot/recordfile"
	"github.com/bambooknot/bambooknot/setting"
	"github.com/bambooknot/bambooknot/tomldoc"
)

const checkLong = `Checks settings files and record files without a node and prints all faults with file, key and allowed
values. A file with a section [vm] is checked as settings of a sidecar, one with [fleet] or [node] as settings of a
node, and any other as records. The fleet checks references between records at publishing.

Exit codes: 0 no faults; 2 faults in at least one file.`

type checkCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

func init() {
	Register("check", "Check settings or records", checkLong, func() Runner { return &checkCommand{} })
}

func (c *checkCommand) Run(env Env, _ []string) int {
	code := ExitOK
	for _, path := range c.Args.Files {
		kind, err := checkFile(path)
		if err != nil {
			code = FailUsage(env, err)
			continue
		}
		fmt.Fprintf(env.Out, "%s: %s without a fault\n", path, kind)
	}
	return code
}

// checkFile determines the kind of a file by its sections and checks it.
func checkFile(path string) (kind string, err error) {
	doc, err := tomldoc.Load(path)
	if err != nil {
		return "", err
	}
	if doc.Root().Has("vm") {
		_, err = setting.LoadSidecar(path)
		return "settings", err
	}
	if doc.Root().Has("fleet") || doc.Root().Has("node") {
		_, err = setting.Load(path)
		return "settings", err
	}
	_, err = recordfile.Load(path)
	return "records", err
}
