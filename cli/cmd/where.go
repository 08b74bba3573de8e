package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/laburnumcleat/laburnumcleat/pkg/dryrun"
	"github.com/laburnumcleat/laburnumcleat/pkg/rpc"
)

type whereOptions struct {
	control string
	query   dryrun.Query
}

func whereVerb() verb {
	return verb{
		name:    "where",
		summary: "show where a node would send a request now, and why; nothing is sent or counted",
		examples: []string{
			"laburnumctl where --control 10.1.0.27:8300 --host shop.example --path /orders/7",
			"laburnumctl where --control 10.1.0.27:8300 --host shop.example --path /orders/7 --team blue --output json",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			var o whereOptions
			sc.String(&o.control, "", "control", "control address of the node, ip:port")
			sc.String(&o.query.Host, "", "host", "host of the request")
			sc.String(&o.query.Path, "", "path", "path of the request")
			sc.String(&o.query.Team, "", "team", "name of the caller's team; keys are not accepted")
			sc.String(&o.query.Service, "", "service", "service, if the route has several; default: that with the highest weight")
			sc.Int(&o.query.LeftMS, "", "left", "milliseconds until the target; default: those of a new request")
			return o.run
		},
	}
}

func (o *whereOptions) validate() error {
	switch {
	case o.control == "":
		return usageError("control", "missing", "pass the control address of a node, which is in its settings")
	case o.query.Host == "":
		return usageError("host", "missing", "pass the host of the request")
	case !strings.HasPrefix(o.query.Path, "/"):
		return usageError("path", "does not begin with /", "pass the path of the request")
	case o.query.LeftMS < 0:
		return usageError("left", "is negative", "pass the milliseconds that are left, or nothing")
	}
	return nil
}

func (o *whereOptions) run(ctx context.Context, s *session) error {
	if err := o.validate(); err != nil {
		return err
	}
	client := rpc.NewClient(&rpc.Counters{}, nil)
	defer client.Close()
	var answer dryrun.Answer
	if err := client.Call(ctx, o.control, dryrun.Method, o.query, &answer); err != nil {
		return err
	}
	return s.print(answer, func(out io.Writer) { writeWhere(out, &answer) })
}

func writeWhere(out io.Writer, a *dryrun.Answer) {
	fmt.Fprintf(out, "node %s in %s, configuration %d\n", a.Node, a.DataCentre, a.Version)
	if a.Route != "" {
		fmt.Fprintf(out, "route %s to %s, rank %d, target %d ms, timeout %d ms, idempotent %t\n", a.Route, strings.Join(a.Services, ","), a.Rank, a.TargetMS, a.TimeoutMS, a.Idempotent)
	}
	if a.Team != "" {
		left := "not known"
		if a.LimitLeft != nil {
			left = strconv.FormatFloat(*a.LimitLeft, 'f', 1, 64) + " requests"
		}
		fmt.Fprintf(out, "team %s, left of its limit: %s\n", a.Team, left)
	}
	if a.LinkBacklogMS > 0 {
		fmt.Fprintf(out, "this node's link has %d ms to send\n", a.LinkBacklogMS)
	}
	if a.Refusal != "" {
		fmt.Fprintf(out, "refused: %s\n", a.Refusal)
	}
	if len(a.Candidates) == 0 {
		return
	}
	rows := [][]string{{"CANDIDATE", "DATA CENTRE", "SCORE", "IN TIME", "BUSY", "REMOTE", "CALLS", "LIMIT", "ANSWERED", "CLASS MS", "LINK MS", "OWN CALLS", "AGE MS", "LEFT OUT"}}
	for i := range a.Candidates {
		rows = append(rows, candidateRow(&a.Candidates[i]))
	}
	writeTable(out, rows)
}

func candidateRow(c *dryrun.Candidate) []string {
	number := func(v float64) string { return strconv.FormatFloat(v, 'f', 2, 64) }
	age, leftOut := "-", "-"
	if c.ReportAgeMS != nil {
		age = strconv.FormatInt(*c.ReportAgeMS, 10)
	}
	if c.LeftOut != "" {
		leftOut = c.LeftOut
	}
	return []string{
		c.ID, c.DataCentre, number(c.Score), number(c.InTime), number(-c.BusyCost), number(-c.RemoteCost), strconv.FormatFloat(c.Calls, 'f', 1, 64),
		strconv.FormatFloat(c.Limit, 'f', 0, 64), number(c.Answered), strconv.FormatInt(c.ClassMS, 10), strconv.FormatInt(c.LinkBacklogMS, 10),
		strconv.Itoa(c.Outstanding), age, leftOut,
	}
}
