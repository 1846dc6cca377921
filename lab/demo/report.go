package demo

import (
	"fmt"
	"html"
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"lichenroad/lab"
)

const (
	reportHead = "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>lichenroad: a demonstration</title></head>" +
		"<body style=\"font-family:sans-serif;max-width:60em;margin:2em auto\">\n<h1>Two builds through a plan</h1>\n"
	reportEnd = "\n</body></html>\n"
)

var (
	requestColor = color.Gray{130}
	attemptColor = color.RGBA{R: 190, G: 30, B: 30, A: 255}
)

// writeReport writes an HTML page with the result, the statuses of the rollout and a chart for each tenant, and returns the
// file's path.
func (d *demonstration) writeReport(result *Result) (path string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seconds := int(d.now()) + 1
	var charts []string
	for _, tenant := range tenants {
		chart, err := d.tenantChart(tenant, seconds)
		if err != nil {
			return "", err
		}
		charts = append(charts, chart)
	}
	page := reportHead + d.summaryHTML(result) + strings.Join(charts, "\n") + reportEnd
	path = filepath.Join(d.options.Dir, "demo.html")
	return path, lab.WriteFile(path, []byte(page))
}

// summaryHTML returns the part of the page above the charts. The caller holds mu.
func (d *demonstration) summaryHTML(result *Result) string {
	var text strings.Builder
	fmt.Fprintf(&text, "<p>Real processes on loopback against stand-ins: %d queries, %d honoured, %d denied, %d failed; %d legs at builds on trial, at most %.2f of any allowance.</p>\n<ul>",
		result.Requests, result.Succeeded, result.Rejected, result.Failed, result.CanaryAttempts, result.MaxExposureUse)
	for _, observed := range d.statuses {
		status := observed.status
		fmt.Fprintf(&text, "<li>%.1f s: build %d %s, step %d, cap %g</li>", observed.at, status.Build, phaseText(status.Phase), status.Stage, status.ExposureLimit)
	}
	text.WriteString("</ul>\n")
	for _, violation := range result.Violations {
		text.WriteString("<p style=\"color:#b00\">" + html.EscapeString(violation) + "</p>\n")
	}
	return text.String()
}

// tenantChart returns a chart of a tenant's requests and its attempts at unreleased builds per second, as SVG. The caller
// holds mu.
func (d *demonstration) tenantChart(tenant string, seconds int) (string, error) {
	chart := plot.New()
	chart.Title.Text = "customer " + tenant
	chart.X.Label.Text = "s since the start"
	chart.Y.Label.Text = "a second, all relays"
	if err := addSteps(chart, "queries", requestColor, d.requestsBySecond(tenant, seconds)); err != nil {
		return "", err
	}
	if err := addSteps(chart, "legs at builds on trial", attemptColor, d.canaryAttemptsBySecond(tenant, seconds)); err != nil {
		return "", err
	}
	svg, err := lab.SVG(chart)
	return string(svg), err
}

// addSteps adds a line to a chart that holds each second's value until the next second.
func addSteps(chart *plot.Plot, name string, lineColor color.Color, values []float64) error {
	points := make(plotter.XYs, len(values))
	for second, value := range values {
		points[second] = plotter.XY{X: float64(second), Y: value}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.StepStyle = lineColor, plotter.PostStep
	chart.Add(line)
	chart.Legend.Add(name, line)
	return nil
}

func (d *demonstration) requestsBySecond(tenant string, seconds int) []float64 {
	counts := make([]float64, seconds)
	for _, request := range d.requests {
		if request.tenant == tenant {
			countAt(counts, request.at)
		}
	}
	return counts
}

func (d *demonstration) canaryAttemptsBySecond(tenant string, seconds int) []float64 {
	counts := make([]float64, seconds)
	for _, a := range d.attempts {
		if a.tenant == tenant && d.isCanary(a) {
			countAt(counts, a.at)
		}
	}
	return counts
}

// countAt increments the count of the second in which a time lies, unless it lies outside the counts.
func countAt(counts []float64, at float64) {
	if at >= 0 && int(at) < len(counts) {
		counts[int(at)]++
	}
}
