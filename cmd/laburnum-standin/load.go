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

// newLoadCmd sends calls as described in a JSON file.
func newLoadCmd() verb {
	var plan, output string
	command := newCommand("load", "open-loop load in ranks; prints one summary line for each rank")
	command.String(&plan, "p", "plan", "JSON file with nodes, streams and seed")
	command.String(&output, "o", "output", "file that gets one JSON line for each call")
	return verb{command, func(ctx context.Context) error {
		data, err := os.ReadFile(plan)
		if err != nil {
			return eris.Wrap(err, "reading the plan; name it with --plan")
		}
		var options load.Options
		if err := json.Unmarshal(data, &options); err != nil {
			return eris.Wrapf(err, "decoding %s", plan)
		}
		if output != "" {
			file, err := os.Create(output)
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
