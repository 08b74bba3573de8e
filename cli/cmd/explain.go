package cmd

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

func explainVerb() verb {
	return verb{
		name:    "explain",
		summary: "show recent decisions of nodes about a request id, member, version or route, or decisions about a request from log files",
		examples: []string{
			"laburnumctl explain seeb-tracker-1 --api 127.0.0.1:7003",
			"laburnumctl explain --api 127.0.0.1:7003,127.0.0.1:7013",
			"laburnumctl explain --id 9c41d07be2a35f68 --logs seeb-1.log,seeb-2.log",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var subject, id, logs string
			sc.String(&id, "", "id", "request id to search for in log files")
			sc.String(&logs, "", "logs", "log files of nodes, separated by commas")
			sc.AddPositionalValue(&subject, "subject", 1, false, "request id, member id, version or route; default: everything")
			return func(ctx context.Context, s *session) error {
				if id != "" || logs != "" {
					return explainFromLogs(s, id, logs)
				}
				return explainSubject(ctx, s, subject)
			}
		},
	}
}

// explainFromLogs prints the decisions about a request from log files, with the preceding state changes of the nodes involved.
func explainFromLogs(s *session, id, logs string) error {
	if id == "" || logs == "" {
		return apierror.InvalidField("explain", "--id and --logs must be used together", "pass both")
	}
	var chain []explain.Line
	err := readLogs(logs, func(logs []io.Reader) (err error) {
		chain, err = explain.FromLogs(id, logs...)
		return err
	})
	if err != nil {
		return err
	}
	if len(chain) == 0 {
		return apierror.New(apierror.NotFound, "no log line about request "+id, "pass the logs of the node that received the request and of the nodes named in its lines; requests answered in time at the first attempt are not logged")
	}
	for _, line := range chain {
		fmt.Fprintln(s.stdout, line.Text)
	}
	return nil
}

// explainSubject queries every address of --api, because each node records only its own decisions. It fails only if no node responds.
func explainSubject(ctx context.Context, s *session, subject string) error {
	var responses []operator.EventList
	var failure error
	for _, client := range s.client.PerAddress() {
		response, err := client.Explain(ctx, subject)
		if err != nil {
			failure = err
			fmt.Fprintf(s.stderr, "laburnumctl: %s: %s\n", client.Address(), err)
			continue
		}
		responses = append(responses, response)
	}
	if len(responses) == 0 {
		if failure != nil {
			return failure
		}
		_, err := s.client.Explain(ctx, subject) // fails with ErrNoAddress
		return err
	}
	return s.print(responses, func(out io.Writer) { writeEvents(out, responses) })
}

func writeEvents(out io.Writer, responses []operator.EventList) {
	type row struct {
		at    time.Time
		cells []string
	}
	var rows []row
	for _, response := range responses {
		for _, e := range response.Events {
			cause := e.Cause
			if e.Count > 1 {
				cause = fmt.Sprintf("%s (%d times)", cause, e.Count)
			}
			rows = append(rows, row{e.Time, []string{e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), response.Node, string(e.Kind), e.Subject, cause}})
		}
	}
	if len(rows) == 0 {
		fmt.Fprintln(out, "no decision is recorded; nodes keep only the latest ones")
		return
	}
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].at.Before(rows[j].at) })
	table := [][]string{{"TIME", "NODE", "DECISION", "SUBJECT", "CAUSE"}}
	for _, r := range rows {
		table = append(table, r.cells)
	}
	writeTable(out, table)
}
