// Bambooknot distributes configuration to the nodes of a service mesh and carries their calls.
package main

import (
	"os"

	"github.com/bambooknot/bambooknot/command"
	_ "github.com/bambooknot/bambooknot/query"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
