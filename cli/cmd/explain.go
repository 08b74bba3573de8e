package cmd

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/operator"
)

func explainVerb() verb {
	return verb{
		name:    "explain",
		summary: "show the recent decisions of nodes about a request id, member, version or route",
		examples: []string{
			"laburnumctl explain seeb-tracker-1 --api 127.0.0.1:7003",
			"laburnumctl explain --api 127.0.0.1:7003,127.0.0.1:7013",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var subject string
			sc.AddPositionalValue(&subject, "subject", 1, false, "request id, member id, version or route; default: everything")
			return func(ctx context.Context, s *session) error {
				return explainSubject(ctx, s, subject)
			}
		},
	}
}

// explainSubject asks every address of --api, because each node records its own decisions. It fails only if none
// answers.
func explainSubject(ctx context.Context, s *session, subject string) error {
	var answers []operator.EventList
	var failure error
	for _, client := range s.client.Each() {
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
