package cmd

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

type lossesOptions struct {
	logs  string
	every time.Duration
	csv   string
	plot  string
}

func lossesVerb() verb {
	return verb{
		name:    "losses",
		summary: "show from log files which requests were not answered in time, by time, service, route and cause",
		examples: []string{
			"laburnumctl losses --logs seeb-1.log,seeb-2.log",
			"laburnumctl losses --logs all.log --every 2s --csv losses.csv --plot losses.png",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			o := lossesOptions{every: time.Second}
			sc.String(&o.logs, "", "logs", "log files of nodes, separated by commas")
			sc.Duration(&o.every, "", "every", "span of time of a row; default 1s")
			sc.String(&o.csv, "", "csv", "file to write the rows to")
			sc.String(&o.plot, "", "plot", "file to draw the losses over time in: .png, .svg or .pdf")
			return func(_ context.Context, s *session) error { return o.run(s) }
		},
	}
}

func (o *lossesOptions) validate() error {
	if o.logs == "" {
		return apierror.New(usageKind, "--logs: no log file is given", "name the log files of the nodes, separated by commas")
	}
	if o.every <= 0 {
		return apierror.New(usageKind, "--every is not above 0", "give a span such as 1s")
	}
	return nil
}

func (o *lossesOptions) run(s *session) error {
	if err := o.validate(); err != nil {
		return err
	}
	readers, closeAll, err := openLogs(o.logs)
	if err != nil {
		return err
	}
	defer closeAll()
	found, err := explain.FindLosses(o.every, readers...)
	if err != nil {
		return apierror.New(apierror.Invalid, "reading the logs: "+err.Error(), "name log files of nodes")
	}
	if len(found.Rows) == 0 {
		fmt.Fprintln(s.stdout, "no loss is in the logs; a node logs at most 50 requests a second and counts the rest in log_limited")
		return nil
	}
	rows := lossRows(found)
	writeTable(s.stdout, rows)
	fmt.Fprintln(s.stdout)
	counts := found.ByCause()
	for _, cause := range found.Causes() {
		fmt.Fprintf(s.stdout, "%8d  %s\n", counts[cause], cause)
	}
	if o.csv != "" {
		if err := writeCSV(o.csv, rows); err != nil {
			return apierror.New(usageKind, "--csv: "+err.Error(), "name a file that can be written")
		}
	}
	if o.plot != "" {
		if err := plotLosses(found, o.every, o.plot); err != nil {
			return apierror.New(usageKind, "--plot: "+err.Error(), "name a file that can be written and ends in .png, .svg or .pdf")
		}
	}
	return nil
}

func lossRows(found explain.Losses) [][]string {
	rows := [][]string{{"TIME", "SERVICE", "ROUTE", "CAUSE", "COUNT", "RUNNING", "LIMIT", "QUEUED", "SLOT TIME"}}
	for _, l := range found.Rows {
		row := []string{l.From.UTC().Format("15:04:05.0"), l.Service, l.Route, l.Cause, strconv.Itoa(l.Count), "", "", "", ""}
		if room, ok := found.SlotUsage[explain.SlotUsageKey{From: l.From, Service: l.Service}]; ok {
			for i, value := range []float64{room.Running, room.Limit, room.Queued} {
				row[5+i] = strconv.FormatFloat(value, 'f', 1, 64)
			}
			row[8] = room.SlotTime.Round(time.Millisecond).String()
		}
		rows = append(rows, row)
	}
	return rows
}

func writeCSV(path string, rows [][]string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	writer := csv.NewWriter(file)
	if err := writer.WriteAll(rows); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}

// legendRoom is the height of the plot relative to its highest bar; the legend stands above the bars.
const legendRoom = 1.6

// plotLosses draws the losses of each span as stacked bars, one colour for each cause.
func plotLosses(found explain.Losses, every time.Duration, path string) error {
	first := found.Rows[0].From
	spans := int(found.Rows[len(found.Rows)-1].From.Sub(first)/every) + 1
	p := plot.New()
	p.Title.Text = "requests not answered in time, from " + first.UTC().Format("2006-01-02 15:04:05")
	p.X.Label.Text = "spans of " + every.String()
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, cause := range found.Causes() {
		values := make(plotter.Values, spans)
		for _, l := range found.Rows {
			if l.Cause == cause {
				values[int(l.From.Sub(first)/every)] += float64(l.Count)
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(6))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	p.Y.Max *= legendRoom
	return p.Save(10*vg.Inch, 5*vg.Inch, path)
}

// openLogs opens log files whose names are separated by commas.
func openLogs(names string) (readers []io.Reader, closeAll func(), err error) {
	var files []*os.File
	closeAll = func() {
		for _, file := range files {
			file.Close()
		}
	}
	for path := range strings.SplitSeq(names, ",") {
		file, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, apierror.New(usageKind, "--logs: "+err.Error(), "name existing log files")
		}
		files = append(files, file)
		readers = append(readers, file)
	}
	return readers, closeAll, nil
}
