package lab

import (
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Bar is one value of what a sweep varied: a figure's mean over seeds and its interval.
type Bar struct {
	Name            string
	Mean, Low, High float64
}

// bars are points with their intervals.
type barChart []Bar

func (b barChart) Len() int                       { return len(b) }
func (b barChart) XY(i int) (x, y float64)        { return float64(i), b[i].Mean }
func (b barChart) YError(i int) (low, up float64) { return b[i].Mean - b[i].Low, b[i].High - b[i].Mean }

var sweepPage = template.Must(template.New("sweep").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>lichenroad: a sweep</title><style>
body{font-family:sans-serif;max-width:68em;margin:2em auto;padding:0 1em;color:#222}svg{max-width:100%;height:auto}</style></head><body>
<h1>{{.Title}}</h1><p>Simulated. Each point is the mean over seeds, its line the interval.</p>{{range .Charts}}{{.}}
{{end}}</body></html>
`))

// SweepPage writes the page of a sweep into a directory, whole or not at all: a chart for each figure.
func SweepPage(dir, title string, figures []string, of map[string][]Bar) (string, error) {
	var charts []template.HTML
	for _, name := range figures {
		p := plot.New()
		p.Title.Text = name
		b := barChart(of[name])
		var names []string
		for _, x := range b {
			names = append(names, x.Name)
		}
		points, err := plotter.NewScatter(b)
		if err != nil {
			return "", fmt.Errorf("chart of %s: %w", name, err)
		}
		points.Color = blue
		lines, err := plotter.NewYErrorBars(b)
		if err != nil {
			return "", fmt.Errorf("chart of %s: %w", name, err)
		}
		p.Add(points, lines)
		p.NominalX(names...)
		h, err := SVG(p)
		if err != nil {
			return "", err
		}
		charts = append(charts, h)
	}
	return writePage(dir, "sweep.html", sweepPage, struct {
		Title  string
		Charts []template.HTML
	}{title, charts})
}
