package lab

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"lichenroad/plan"
	"lichenroad/rollout"
)

const (
	chartWidth  = 26 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	hour        = 3600.0
)

var (
	freezeShade = color.RGBA{R: 205, G: 222, B: 240, A: 255}
	blue        = color.RGBA{R: 30, G: 80, B: 160, A: 255}
	green       = color.RGBA{R: 20, G: 140, B: 60, A: 255}
	red         = color.RGBA{R: 190, G: 30, B: 30, A: 255}
	orange      = color.RGBA{R: 220, G: 130, B: 0, A: 255}
)

// chart returns an empty chart over the time of the run, with its freezes shaded up to a height.
func (r *Result) chart(title, yLabel string, height float64) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, "hours since the start", yLabel
	chart.Title.TextStyle.Font.Size, chart.X.Label.TextStyle.Font.Size = font.Points(11), font.Points(9)
	for _, times := range r.FreezeTimes {
		for i := 0; i+1 < len(times); i += 2 {
			from, to := max(times[i]/hour, 0), min(times[i+1]/hour, r.Days*24)
			if to <= from {
				continue
			}
			box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: height}, {X: from, Y: height}})
			if err != nil {
				return nil, err
			}
			box.Color, box.Width = freezeShade, 0
			chart.Add(box)
		}
	}
	chart.X.Min, chart.X.Max, chart.Y.Min, chart.Y.Max = 0, r.Days*24, 0, height
	return chart, nil
}

// SVG renders a chart as an SVG element to be embedded in an HTML page.
func SVG(chart *plot.Plot) (template.HTML, error) {
	writer, err := chart.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return "", err
	}
	var drawn bytes.Buffer
	if _, err := writer.WriteTo(&drawn); err != nil {
		return "", err
	}
	text := drawn.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:] // without the XML declaration
	}
	return template.HTML(text), nil
}

// addMarks adds points to a chart, if there are any.
func addMarks(chart *plot.Plot, points plotter.XYs, color color.Color, name string) error {
	if len(points) == 0 {
		return nil
	}
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	marks.Color, marks.Radius = color, vg.Points(2.5)
	chart.Add(marks)
	chart.Legend.Add(name, marks)
	return nil
}

// timelineChart draws the rollouts of a service: the current step, offers, releases and rollbacks.
func (r *Result) timelineChart(service *plan.Service) (template.HTML, error) {
	top := float64(len(service.Steps)) + 1
	chart, err := r.chart(service.Name+": step on trial, releases and ways back; freezes are shaded", "step", top+0.5)
	if err != nil {
		return "", err
	}
	open := plotter.XYs{{X: 0, Y: 0}}
	var offered, released, rolledBack plotter.XYs
	for _, event := range r.Steps {
		if event.Service != service.Name {
			continue
		}
		at, step := event.Time/hour, float64(event.Step)+1
		switch event.Kind {
		case rollout.EventOffered, rollout.EventSuperseded:
			offered = append(offered, plotter.XY{X: at, Y: 0.2})
		case rollout.EventBegan, rollout.EventPromoted:
			open = append(open, plotter.XY{X: at, Y: step})
		case rollout.EventReleased:
			open = append(open, plotter.XY{X: at, Y: 0})
			released = append(released, plotter.XY{X: at, Y: top})
		case rollout.EventRollingBack:
			open = append(open, plotter.XY{X: at, Y: 0})
			rolledBack = append(rolledBack, plotter.XY{X: at, Y: step})
		}
	}
	line, err := plotter.NewLine(append(open, plotter.XY{X: r.Days * 24, Y: open[len(open)-1].Y}))
	if err != nil {
		return "", err
	}
	line.StepStyle, line.Color = plotter.PostStep, blue
	chart.Add(line)
	err = errors.Join(
		addMarks(chart, offered, orange, "offered"),
		addMarks(chart, released, green, "released"),
		addMarks(chart, rolledBack, red, "sent back"))
	if err != nil {
		return "", err
	}
	chart.Legend.Top = true
	return SVG(chart)
}

// exposureChart draws the highest used fraction of any allowance, by service and period of ten minutes.
func (r *Result) exposureChart(services []plan.Service) (template.HTML, error) {
	const height = 1.2
	title := "Exposure: the highest part of an allowance (cap times queries, and a leg) that a group of a relay used"
	chart, err := r.chart(title, "part", height)
	if err != nil {
		return "", err
	}
	limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: 1}, {X: r.Days * 24, Y: 1}})
	if err != nil {
		return "", err
	}
	limit.Color = red
	chart.Add(limit)
	chart.Legend.Add("the cap", limit)
	colors := []color.Color{blue, green, orange}
	for i, service := range services {
		var points plotter.XYs
		for _, use := range r.AllowanceUse {
			if use.Service == service.Name {
				points = append(points, plotter.XY{X: use.Hour, Y: min(use.Max, height)})
			}
		}
		if err := addMarks(chart, points, colors[i%len(colors)], service.Name); err != nil {
			return "", err
		}
	}
	return SVG(chart)
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"hours": func(s float64) string {
		if s < 0 {
			return "-"
		}
		return fmt.Sprintf("%.2f", s/hour)
	},
	"pct": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>lichenroad: a plan tried out</title><style>
body{font-family:sans-serif;max-width:68em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}
svg{max-width:100%;height:auto}.bad{color:#b00}</style></head><body>
<h1>A plan tried out for {{.R.Days}} days, seed {{.R.Seed}}</h1>
<p>All figures are simulated: {{.R.Relays}} relays with the real decision module, {{.R.Endpoints}} emulated planners, {{.R.Requests}} queries in
{{printf "%.0f" .R.TrafficTime}} s with traffic. Timeline {{.R.TimelineHash}}.</p>
<table>
<tr><th>Service (value in due time)</th><td>{{pct .R.ServedFraction}}</td></tr>
<tr><th>Good builds released, on average after</th><td>{{pct .R.GoodReleased}}, {{hours .R.GoodReleaseTime}} h</td></tr>
<tr><th>Bad builds released for good</th><td>{{pct .R.BadReleased}}</td></tr>
<tr><th>Highest part of any allowance used</th><td>{{pct .R.MaxAllowanceUsed}}</td></tr>
<tr><th>Rules or lines of the plan broken</th><td>{{if .R.ViolationsByRule}}<span class="bad">{{range $k, $n := .R.ViolationsByRule}}{{$k}}: {{$n}} {{end}}</span>{{else}}none{{end}}</td></tr>
</table>
{{range .Charts}}{{.}}
{{end}}
<h2>Releases</h2><table><tr><th>service</th><th>build</th><th>it is</th><th>offered, h</th><th>began</th><th>released</th><th>sent back</th><th>steps</th></tr>
{{range .R.Releases}}<tr><td>{{.Service}}</td><td>{{.Build}}</td><td{{if .Bad}} class="bad"{{end}}>{{.BuildFault}}</td><td>{{hours .OfferedAt}}</td><td>{{hours .BeganAt}}</td><td>{{hours .ReleasedAt}}</td><td>{{hours .RolledBackAt}}</td><td>{{.Promotions}}</td></tr>
{{end}}</table>
<h2>What held releases, hours over all services</h2><table>{{range .Held}}<tr><td>{{.Code}}</td><td>{{hours .For}}</td></tr>
{{end}}</table>
{{if .R.Violations}}<h2 class="bad">Broken</h2><table><tr><th>h</th><th>relay</th><th>rule</th><th>figure</th><th></th></tr>
{{range .R.Violations}}<tr><td>{{hours .Time}}</td><td>{{.Relay}}</td><td>{{.Rule}}</td><td>{{printf "%.3g" .Figure}}</td><td>{{.Text}}</td></tr>
{{end}}</table>{{end}}
</body></html>
`))

// blockedTime is the time in seconds for which a reason blocked releases.
type blockedTime struct {
	Code string
	For  float64
}

// Report writes the HTML page of a run into a directory, in full or not at all, and returns its file name.
func (r *Result) Report(planned *plan.Plan, dir string) (string, error) {
	data := struct {
		R      *Result
		Charts []template.HTML
		Held   []blockedTime
	}{R: r}
	for i := range planned.Services {
		chart, err := r.timelineChart(&planned.Services[i])
		if err != nil {
			return "", err
		}
		data.Charts = append(data.Charts, chart)
	}
	chart, err := r.exposureChart(planned.Services)
	if err != nil {
		return "", err
	}
	data.Charts = append(data.Charts, chart)
	for code, seconds := range r.BlockedFor {
		data.Held = append(data.Held, blockedTime{code, seconds})
	}
	sort.Slice(data.Held, func(i, j int) bool { return data.Held[i].For > data.Held[j].For })
	return writePage(dir, "plan.html", page, data)
}

// WriteFile writes a file in full or not at all: it writes to NAME.part first, then renames that.
func WriteFile(name string, content []byte) error {
	if err := os.WriteFile(name+".part", content, 0o644); err != nil {
		return err
	}
	return os.Rename(name+".part", name)
}

// writePage writes a page into a directory, in full or not at all, and returns its file name.
func writePage(dir, name string, page *template.Template, data any) (string, error) {
	var content bytes.Buffer
	if err := page.Execute(&content, data); err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("create report directory: %w", err)
	}
	name = filepath.Join(dir, name)
	return name, WriteFile(name, content.Bytes())
}
