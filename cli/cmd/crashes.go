package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

type crashesOptions struct {
	logs string
	min  int
}

func crashesVerb() verb {
	return verb{
		name:    "crashes",
		summary: "show from log files which requests were running when backend servers crashed, and which of them are blocked",
		examples: []string{
			"laburnumctl crashes --logs seeb-1.log,seeb-2.log",
			"laburnumctl crashes --logs all.log --min 1",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			o := crashesOptions{min: 2}
			sc.String(&o.logs, "", "logs", "log files of nodes, separated by commas")
			sc.Int(&o.min, "", "min", "only requests that were running at this number of crashes or more; default 2")
			return func(_ context.Context, s *session) error { return o.run(s) }
		},
	}
}

func (o *crashesOptions) run(s *session) error {
	var found []explain.CrashingRequest
	err := readLogs(o.logs, func(logs []io.Reader) (err error) {
		found, err = explain.FindCrashingRequests(o.min, logs...)
		return err
	})
	if err != nil {
		return err
	}
	if len(found) == 0 {
		fmt.Fprintf(s.stdout, "no request was running at %d crashes or more; pass the logs of all nodes beside the backend servers\n", o.min)
		return nil
	}
	rows := [][]string{{"FINGERPRINT", "CRASHES", "SERVICES", "FIRST", "LAST", "BLOCKED", "ID"}}
	for _, r := range found {
		rows = append(rows, []string{
			r.Fingerprint, strconv.Itoa(r.Crashes), strings.Join(r.Services, ","), timeOfDay(r.First), timeOfDay(r.Last), timeOfDay(r.BlockedAt), r.ID,
		})
	}
	writeTable(s.stdout, rows)
	return nil
}

// timeOfDay formats a time, or "-" for none.
func timeOfDay(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.0")
}
