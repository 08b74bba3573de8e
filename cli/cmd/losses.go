package cmd

import (
	"context"
	"encoding/csv"
	"fmt"
	"image/color"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/integrii/flaggy"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/laburnumcleat/laburnumcleat/pkg/apierror"
	"github.com/laburnumcleat/laburnumcleat/pkg/explain"
)

type lossesOptions struct {
	logs     string
	metrics  string
	interval time.Duration
	csv      string
	plot     string
}

func lossesVerb() verb {
	return verb{
		name:    "losses",
		summary: "count the requests in log files that were not answered in time, by interval, service, route and cause",
		examples: []string{
			"laburnumctl losses --logs seeb-1.log,seeb-2.log",
			"laburnumctl losses --logs all.log --every 2s --csv losses.csv --plot losses.png",
			"laburnumctl losses --logs seeb-1.log --metrics seeb-1.metrics",
		},
		register: func(sc *flaggy.Subcommand) runFunc {
			o := lossesOptions{interval: time.Second}
			sc.String(&o.logs, "", "logs", "log files of nodes, separated by commas")
			sc.String(&o.metrics, "", "metrics", "files with the metrics of the nodes, separated by commas, to count the request lines that were not logged")
			sc.Duration(&o.interval, "", "every", "length of the time interval that each row covers; default 1s")
			sc.String(&o.csv, "", "csv", "file to write the rows to")
			sc.String(&o.plot, "", "plot", "file for a plot of the losses over time: .png, .svg or .pdf")
			return func(_ context.Context, s *session) error { return o.run(s) }
		},
	}
}

func (o *lossesOptions) validate() error {
	if o.interval <= 0 {
		return apierror.New(usageKind, "--every is not positive", "pass an interval such as 1s")
	}
	return nil
}

func (o *lossesOptions) run(s *session) error {
	if err := o.validate(); err != nil {
		return err
	}
	var losses explain.Losses
	err := readLogs(o.logs, func(logs []io.Reader) (err error) {
		losses, err = explain.FindLosses(o.interval, logs...)
		return err
	})
	if err != nil {
		return err
	}
	if err := o.writeSuppressed(s); err != nil {
		return err
	}
	if len(losses.Rows) == 0 {
		fmt.Fprintln(s.stdout, "no losses in the logs")
		return nil
	}
	rows := lossRows(losses)
	writeTable(s.stdout, rows)
	fmt.Fprintln(s.stdout)
	counts := losses.ByCause()
	for _, cause := range losses.Causes() {
		fmt.Fprintf(s.stdout, "%8d  %s\n", counts[cause], cause)
	}
	if o.csv != "" {
		if err := writeCSV(o.csv, rows); err != nil {
			return apierror.New(usageKind, "--csv: "+err.Error(), "pass a writable file")
		}
	}
	if o.plot != "" {
		if err := plotLosses(losses, o.interval, o.plot); err != nil {
			return apierror.New(usageKind, "--plot: "+err.Error(), "pass a writable file that ends in .png, .svg or .pdf")
		}
	}
	return nil
}

// writeSuppressed writes how many request lines the nodes did not log, or that this is not known.
func (o *lossesOptions) writeSuppressed(s *session) error {
	if o.metrics == "" {
		fmt.Fprintln(s.stdout, "a node logs at most 50 requests per second, so the counts are lower bounds; --metrics tells how many lines are missing")
		return nil
	}
	readers, closeAll, err := openFiles("--metrics", o.metrics)
	if err != nil {
		return err
	}
	defer closeAll()
	suppressed, err := explain.SuppressedLines(readers...)
	if err != nil {
		return apierror.New(apierror.Invalid, "--metrics: "+err.Error(), "pass files with the metrics that nodes serve")
	}
	fmt.Fprintf(s.stdout, "%d request lines were not logged; the counts are lower bounds if there are any\n", suppressed)
	return nil
}

func lossRows(losses explain.Losses) [][]string {
	rows := [][]string{{"TIME", "SERVICE", "ROUTE", "CAUSE", "COUNT", "RUNNING", "LIMIT", "QUEUED", "SLOT TIME"}}
	for _, l := range losses.Rows {
		row := []string{l.From.UTC().Format("15:04:05.0"), l.Service, l.Route, l.Cause, strconv.Itoa(l.Count), "", "", "", ""}
		if usage, ok := losses.SlotUsage[explain.SlotUsageKey{From: l.From, Service: l.Service}]; ok {
			for i, value := range []float64{usage.Running, usage.Limit, usage.Queued} {
				row[5+i] = strconv.FormatFloat(value, 'f', 1, 64)
			}
			row[8] = usage.SlotTime.Round(time.Millisecond).String()
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

// Size of the plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	// legendHeadroom is the height of the plot relative to its highest bar, which leaves space for the legend above the bars.
	legendHeadroom = 1.9
	legendMargin   = 10   // points, to the right edge
	barShare       = 0.75 // of the plot's width that all bars together may take
	maxBarWidth    = 30   // points
	maxTimeTicks   = 12
)

// causeColors has one colour for each cause of loss, from dark blue to brown.
var causeColors = []color.Color{
	color.RGBA{R: 31, G: 82, B: 150, A: 255}, color.RGBA{R: 214, G: 96, B: 39, A: 255}, color.RGBA{R: 44, G: 140, B: 70, A: 255},
	color.RGBA{R: 190, G: 40, B: 50, A: 255}, color.RGBA{R: 130, G: 90, B: 180, A: 255}, color.RGBA{R: 240, G: 190, B: 50, A: 255},
	color.RGBA{R: 80, G: 190, B: 200, A: 255}, color.RGBA{R: 120, G: 120, B: 120, A: 255}, color.RGBA{R: 110, G: 70, B: 45, A: 255},
}

// secondTicks labels bars, which are numbered from 0, with the seconds from the start of the first one.
func secondTicks(intervals int, interval time.Duration) plot.ConstantTicks {
	step := 1 + (intervals-1)/maxTimeTicks
	var ticks plot.ConstantTicks
	for i := 0; i < intervals; i += step {
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: strconv.FormatFloat(float64(i)*interval.Seconds(), 'f', -1, 64)})
	}
	return ticks
}

// plotLosses draws the losses of each interval as stacked bars, one colour per cause.
func plotLosses(losses explain.Losses, interval time.Duration, path string) error {
	first := losses.Rows[0].From
	intervals := int(losses.Rows[len(losses.Rows)-1].From.Sub(first)/interval) + 1
	p := plot.New()
	p.Title.Text = "requests not answered in time, from " + first.UTC().Format("2006-01-02 15:04:05")
	p.X.Label.Text = "seconds from the first loss, in intervals of " + interval.String()
	p.X.Tick.Marker = secondTicks(intervals, interval)
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	p.Legend.XOffs = -legendMargin
	p.X.Max = float64(intervals)
	var previous *plotter.BarChart
	for i, cause := range losses.Causes() {
		values := make(plotter.Values, intervals)
		for _, l := range losses.Rows {
			if l.Cause == cause {
				values[int(l.From.Sub(first)/interval)] += float64(l.Count)
			}
		}
		bars, err := plotter.NewBarChart(values, min(vg.Points(maxBarWidth), barShare*plotWidth/vg.Length(intervals)))
		if err != nil {
			return err
		}
		bars.Color = causeColors[i%len(causeColors)]
		bars.LineStyle.Width = 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	p.Y.Max *= legendHeadroom
	return p.Save(plotWidth, plotHeight, path)
}
