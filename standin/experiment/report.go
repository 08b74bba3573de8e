package experiment

import (
	"encoding/csv"
	"fmt"
	"image/color"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// column is one column of the report.
type column struct {
	title string
	value func(*Result) float64
	unit  string // appended to each value
	digit int    // digits after the point
}

// total returns a function that sums a count over the classes of a result.
func total(count func(*Outcomes) int) func(*Result) float64 {
	return func(r *Result) float64 {
		sum := 0
		for _, o := range r.Classes {
			sum += count(&o)
		}
		return float64(sum)
	}
}

func inMilliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

var columns = []column{
	{"whole", func(r *Result) float64 { return r.Whole }, "", 3},
	{"worst windows", func(r *Result) float64 { return r.WorstWindows }, "", 3},
	{"worst class", func(r *Result) float64 { return r.WorstClass }, "", 3},
	{"worst data centre", func(r *Result) float64 { return r.WorstDataCentre }, "", 3},
	{"worst teams", func(r *Result) float64 { return r.WorstTeams }, "", 3},
	{"served", func(r *Result) float64 { return r.ServedAtAll }, "", 3},
	{"late", total(func(o *Outcomes) int { return o.Late }), "", 0},
	{"refused", total(func(o *Outcomes) int { return o.Refused }), "", 0},
	{"again", total(func(o *Outcomes) int { return o.ReturnedRefused }), "", 0},
	{"failed", total(func(o *Outcomes) int { return o.Failed }), "", 0},
	{"p50", func(r *Result) float64 { return inMilliseconds(r.Median) }, "ms", 0},
	{"p99", func(r *Result) float64 { return inMilliseconds(r.P99) }, "ms", 0},
	{"spread", func(r *Result) float64 { return r.UsageSpread }, "", 3},
	{"waited beside idle", func(r *Result) float64 { return float64(r.WaitedBesideIdle) }, "", 0},
	{"refused beside idle", func(r *Result) float64 { return float64(r.RefusedBesideIdle) }, "", 0},
	{"rejected early", func(r *Result) float64 { return float64(r.Rejected) }, "", 0},
	{"tries", func(r *Result) float64 { return r.TriesPerCall }, "", 2},
	{"wait", func(r *Result) float64 { return inMilliseconds(r.MeanWait) }, "ms", 1},
	{"refused after", func(r *Result) float64 { return inMilliseconds(r.MeanRefusalTime) }, "ms", 0},
	{"slots wasted", func(r *Result) float64 { return r.WastedSlots }, "", 3},
	{"retry bound used", func(r *Result) float64 { return r.BudgetUsed }, "", 2},
	{"remote calls", func(r *Result) float64 { return float64(r.RemoteCalls) }, "", 0},
	{"remote MB", func(r *Result) float64 { return r.RemoteMB }, "", 1},
}

// rows returns the report as a table with a header.
func rows(results []VariantResult) [][]string {
	header := []string{"variant", "score", "±"}
	for _, c := range columns {
		header = append(header, c.title)
	}
	table := [][]string{header}
	for i := range results {
		v := &results[i]
		score, deviation := v.Mean(func(r *Result) float64 { return r.Score })
		row := []string{v.Variant, strconv.FormatFloat(score, 'f', 4, 64), strconv.FormatFloat(deviation, 'f', 4, 64)}
		for _, c := range columns {
			value, _ := v.Mean(c.value)
			row = append(row, strconv.FormatFloat(value, 'f', c.digit, 64)+c.unit)
		}
		table = append(table, row)
	}
	return table
}

// WriteTable writes the means over the plays of each variant in aligned columns.
func WriteTable(out io.Writer, s *Scenario, results []VariantResult) error {
	fmt.Fprintf(out, "%s: %s\n%d plays of %.0f s of each variant\n\n", s.Name, s.Pattern, s.Seeds, s.Seconds)
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range rows(results) {
		fmt.Fprintln(writer, strings.Join(row, "\t")+"\t")
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	return writeClasses(out, s, results)
}

// writeClasses writes which share of the calls of each class was in time, late, refused and failed.
func writeClasses(out io.Writer, s *Scenario, results []VariantResult) error {
	fmt.Fprintf(out, "\nin time/late/refused/failed, of 100 calls\n\n")
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "variant"
	for _, c := range s.Classes {
		if c.PerSecond > 0 {
			header += "\t" + c.Name
		}
	}
	fmt.Fprintln(writer, header+"\t")
	for i := range results {
		row := results[i].Variant
		for _, c := range s.Classes {
			if c.PerSecond == 0 {
				continue
			}
			share := func(count func(*Outcomes) int) float64 {
				mean, _ := results[i].Mean(func(r *Result) float64 {
					o := r.Classes[c.Name]
					return 100 * float64(count(&o)) / float64(max(1, o.Asked))
				})
				return mean
			}
			row += fmt.Sprintf("\t%.1f/%.1f/%.1f/%.1f", share(func(o *Outcomes) int { return o.InTime }), share(func(o *Outcomes) int { return o.Late }),
				share(func(o *Outcomes) int { return o.Refused }), share(func(o *Outcomes) int { return o.Failed }))
		}
		fmt.Fprintln(writer, row+"\t")
	}
	return writer.Flush()
}

// WriteCSV writes the same table as comma-separated values.
func WriteCSV(out io.Writer, results []VariantResult) error {
	return csv.NewWriter(out).WriteAll(rows(results))
}

// Size of the plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
)

var lineColors = []color.Color{
	color.RGBA{R: 31, G: 82, B: 150, A: 255}, color.RGBA{R: 214, G: 96, B: 39, A: 255}, color.RGBA{R: 44, G: 140, B: 70, A: 255},
	color.RGBA{R: 190, G: 40, B: 50, A: 255}, color.RGBA{R: 130, G: 90, B: 180, A: 255}, color.RGBA{R: 120, G: 120, B: 120, A: 255},
}

// Plot draws the earned share of the worth over time, one line for each variant, into a file whose name ends in .png, .svg or .pdf.
func Plot(s *Scenario, results []VariantResult, file string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "earned share of the worth, windows of " + windowLength.String()
	p.Y.Max = 1
	p.Legend.Top = false
	p.Legend.Left = true
	for i := range results {
		var points plotter.XYs
		for w := range results[i].Plays[0].Windows {
			share, _ := results[i].Mean(func(r *Result) float64 { return r.Windows[w].Share() })
			if results[i].Plays[0].Windows[w].Asked > 0 {
				points = append(points, plotter.XY{X: float64(w) * windowLength.Seconds(), Y: share})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = lineColors[i%len(lineColors)]
		line.Width = vg.Points(2)
		p.Add(line)
		p.Legend.Add(results[i].Variant, line)
	}
	return p.Save(plotWidth, plotHeight, file)
}
