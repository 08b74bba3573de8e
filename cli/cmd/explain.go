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
		summary: "show the recent decisions of nodes about a request id, member, version or route, or the cause of a request in log files",
		examples: []string{
			"laburnumctl explain seeb-tracker-1 --api 127.0.0.1:7003",
			"laburnumctl explain --api 127.0.0.1:7003,127.0.0.1:7013",
			"laburnumctl explain --id 9c41d07be2a35f68 --logs seeb-1.log,seeb-2.log",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var subject, id, logs string
			sc.String(&id, "", "id", "request id to look for in log files")
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

// explainFromLogs prints the decisions about a request in log files, with what changed shortly before on the nodes that took them.
func explainFromLogs(s *session, id, logs string) error {
	if id == "" || logs == "" {
		return apierror.InvalidField("explain", "--id and --logs belong together", "give both")
	}
	readers, closeAll, err := openLogs(logs)
	if err != nil {
		return err
	}
	defer closeAll()
	chain, err := explain.FromLogs(id, readers...)
	if err != nil {
		return apierror.New(apierror.Invalid, "reading the logs: "+err.Error(), "name log files of nodes")
	}
	if len(chain) == 0 {
		return apierror.New(apierror.NotFound, "no line about request "+id, "give the logs of the node that took the request and of the nodes that it names; plain successes are not logged")
	}
	for _, line := range chain {
		fmt.Fprintln(s.stdout, line.Text)
	}
	return nil
}

// explainSubject asks every address of --api, because each node records its own decisions. It fails only if none
// answers.
func explainSubject(ctx context.Context, s *session, subject string) error {
	var answers []operator.EventList
	var failure error
	for _, client := range s.client.PerAddress() {
		answer, err := client.Explain(ctx, subject)
		if err != nil {
			failure = err
			fmt.Fprintf(s.stderr, "laburnumctl: %s: %s\n", client.Address(), err)
			continue
		}
		answers = append(answers, answer)
	}
	if len(answers) == 0 {
		if failure != nil {
			return failure
		}
		_, err := s.client.Explain(ctx, subject) // states that no address is given
		return err
	}
	return s.print(answers, func(out io.Writer) { writeEvents(out, answers) })
}

func writeEvents(out io.Writer, answers []operator.EventList) {
	type row struct {
		at    time.Time
		cells []string
	}
	var rows []row
	for _, answer := range answers {
		for _, e := range answer.Events {
			cause := e.Cause
			if e.Count > 1 {
				cause = fmt.Sprintf("%s (%d times)", cause, e.Count)
			}
			rows = append(rows, row{e.Time, []string{e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), answer.Node, string(e.Kind), e.Subject, cause}})
		}
	}
	if len(rows) == 0 {
		fmt.Fprintln(out, "no decision is recorded; nodes keep only their latest ones")
		return
	}
	sort.SliceStable(rows, func(i, j int) bool { return rows[i].at.Before(rows[j].at) })
	table := [][]string{{"TIME", "NODE", "DECISION", "SUBJECT", "CAUSE"}}
	for _, r := range rows {
		table = append(table, r.cells)
	}
	writeTable(out, table)
}
