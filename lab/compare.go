package lab

import (
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Bar is a point of a sweep's chart, for one value of the varied parameter: a metric's mean over seeds, with its interval.
type Bar struct {
	Name            string // the value of the varied parameter
	Mean, Low, High float64
}

// barChart adapts points and their intervals to plotter.XYer and plotter.YErrorer.
type barChart []Bar

// Len implements plotter.XYer.
func (b barChart) Len() int { return len(b) }

// XY implements plotter.XYer.
func (b barChart) XY(i int) (x, y float64) { return float64(i), b[i].Mean }

// YError implements plotter.YErrorer.
func (b barChart) YError(i int) (low, up float64) { return b[i].Mean - b[i].Low, b[i].High - b[i].Mean }

var sweepPage = template.Must(template.New("sweep").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>lichenroad: a sweep</title><style>
body{font-family:sans-serif;max-width:68em;margin:2em auto;padding:0 1em;color:#222}svg{max-width:100%;height:auto}</style></head><body>
<h1>{{.Title}}</h1><p>Simulated. Each point is the mean over seeds, its line the interval.</p>{{range .Charts}}{{.}}
{{end}}</body></html>
`))

// SweepPage writes the HTML page of a sweep, with a chart for each metric, into a directory and returns its file name. The
// page is written in full or not at all.
func SweepPage(dir, title string, metrics []string, barsOf map[string][]Bar) (string, error) {
	var charts []template.HTML
	for _, metric := range metrics {
		chart, err := sweepChart(metric, barsOf[metric])
		if err != nil {
			return "", fmt.Errorf("chart of %s: %w", metric, err)
		}
		charts = append(charts, chart)
	}
	return writePage(dir, "sweep.html", sweepPage, struct {
		Title  string
		Charts []template.HTML
	}{title, charts})
}

func sweepChart(metric string, bars barChart) (template.HTML, error) {
	chart := plot.New()
	chart.Title.Text = metric
	var names []string
	for _, bar := range bars {
		names = append(names, bar.Name)
	}
	points, err := plotter.NewScatter(bars)
	if err != nil {
		return "", err
	}
	points.Color = blue
	intervals, err := plotter.NewYErrorBars(bars)
	if err != nil {
		return "", err
	}
	chart.Add(points, intervals)
	chart.NominalX(names...)
	return SVG(chart)
}
