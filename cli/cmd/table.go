package cmd

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/laburnumcleat/laburnumcleat/pkg/config"
)

// writeTable prints rows in aligned columns. The first row is the header.
func writeTable(out io.Writer, rows [][]string) {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush() // fails only if writing to out fails
}

// writeChanges prints one line per difference: + added, - removed, ~ changed.
func writeChanges(out io.Writer, changes []config.Change) {
	for _, c := range changes {
		switch {
		case c.Before == nil:
			fmt.Fprintf(out, "+ %s: %s\n", c.Path, c.After)
		case c.After == nil:
			fmt.Fprintf(out, "- %s: %s\n", c.Path, c.Before)
		default:
			fmt.Fprintf(out, "~ %s: %s -> %s\n", c.Path, c.Before, c.After)
		}
	}
	if len(changes) == 0 {
		fmt.Fprintln(out, "no difference")
	}
}
