// Command laburnumctl is the operators' command line client. Package cli/cmd implements its verbs.
package main

import (
	"os"

	"github.com/laburnumcleat/laburnumcleat/cli/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
