package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/laburnumcleat/laburnumcleat/standin/load"
)

// newLoadCmd returns the command that generates the load described in a JSON file.
func newLoadCmd() verb {
	var planFile, outputFile string
	command := newCommand("load", "open-loop load in several ranks; prints one summary line per rank")
	command.String(&planFile, "p", "plan", "JSON file with nodes, streams and seed")
	command.String(&outputFile, "o", "output", "file for one JSON line per call")
	return verb{command, func(ctx context.Context) error {
		data, err := os.ReadFile(planFile)
		if err != nil {
			return eris.Wrap(err, "reading the plan; pass it with --plan")
		}
		var options load.Options
		if err := json.Unmarshal(data, &options); err != nil {
			return eris.Wrapf(err, "decoding %s", planFile)
		}
		if outputFile != "" {
			file, err := os.Create(outputFile)
			if err != nil {
				return eris.Wrap(err, "creating the output file")
			}
			defer file.Close()
			buffered := bufio.NewWriter(file)
			defer buffered.Flush()
			options.Output = buffered
		}
		records, err := load.Run(ctx, options)
		if err != nil {
			return err
		}
		fmt.Println(load.Summarise(records))
		return nil
	}}
}
