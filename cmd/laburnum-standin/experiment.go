package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/experiment"
)

// newExperimentCmd returns the command that compares variants of the decisions under a load pattern.
func newExperimentCmd() verb {
	var scenario, variants, csvFile, plotFile string
	seeds := 0
	command := newCommand("experiment", "compares variants of the decisions about calls under a load pattern, in simulated time: "+strings.Join(experiment.Patterns(), ", "))
	command.AddPositionalValue(&scenario, "scenario", 1, true, "name of a pattern, or a JSON file")
	command.String(&variants, "v", "variants", "variants instead of those of the scenario: "+strings.Join(experiment.VariantLists(), ", ")+", or a JSON file")
	command.String(&csvFile, "c", "csv", "file for the table as comma-separated values")
	command.String(&plotFile, "p", "plot", "file for a plot over time: .png, .svg or .pdf")
	command.Int(&seeds, "s", "seeds", "plays of each variant; default: that of the scenario")
	return verb{command, func(ctx context.Context) error {
		s, err := experiment.Load(scenario)
		if err != nil {
			return err
		}
		if variants != "" {
			if err := s.LoadVariants(variants); err != nil {
				return err
			}
		}
		if seeds > 0 {
			s.Seeds = seeds
		}
		results, err := experiment.Run(ctx, s, func(done, total int) { fmt.Fprintf(os.Stderr, "\rplay %d of %d", done, total) })
		fmt.Fprintln(os.Stderr)
		if err != nil {
			return err
		}
		if err := experiment.WriteTable(os.Stdout, s, results); err != nil {
			return eris.Wrap(err, "writing the table")
		}
		if plotFile != "" {
			if err := experiment.Plot(s, results, plotFile); err != nil {
				return eris.Wrap(err, "plotting; pass a writable file that ends in .png, .svg or .pdf")
			}
		}
		if csvFile == "" {
			return nil
		}
		file, err := os.Create(csvFile)
		if err != nil {
			return eris.Wrap(err, "creating the CSV file")
		}
		defer file.Close()
		return eris.Wrap(experiment.WriteCSV(file, results), "writing the CSV file")
	}}
}
