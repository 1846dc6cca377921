package lab

import (
	"bytes"
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

// chart begins a chart over the run's time with its freezes shaded up to a height.
func (r *Result) chart(title, y string, high float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "hours since the start", y
	p.Title.TextStyle.Font.Size, p.X.Label.TextStyle.Font.Size = font.Points(11), font.Points(9)
	for _, spans := range r.FreezeTimes {
		for i := 0; i+1 < len(spans); i += 2 {
			from, to := max(spans[i]/hour, 0), min(spans[i+1]/hour, r.Days*24)
			if to <= from {
				continue
			}
			box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: high}, {X: from, Y: high}})
			if err != nil {
				return nil, err
			}
			box.Color, box.Width = freezeShade, 0
			p.Add(box)
		}
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, r.Days*24, 0, high
	return p, nil
}

// SVG draws a chart to stand in a page.
func SVG(p *plot.Plot) (template.HTML, error) {
	w, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}

func addMarks(p *plot.Plot, at plotter.XYs, c color.Color, name string) error {
	if len(at) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(at)
	if err != nil {
		return err
	}
	s.Color, s.Radius = c, vg.Points(2.5)
	p.Add(s)
	p.Legend.Add(name, s)
	return nil
}

// timeline draws one service's week: the step that is open, releases, ways back.
func (r *Result) timelineChart(p *plan.Plan, no int) (template.HTML, error) {
	s := &p.Services[no]
	high := float64(len(s.Steps)) + 1.5
	c, err := r.chart(s.Name+": step on trial, releases and ways back; freezes are shaded", "step", high)
	if err != nil {
		return "", err
	}
	line := plotter.XYs{{X: 0, Y: 0}}
	var released, back, offered plotter.XYs
	for _, m := range r.Steps {
		if m.Service != s.Name {
			continue
		}
		x := m.Time / hour
		switch m.Kind {
		case rollout.EventOffered, rollout.EventSuperseded:
			offered = append(offered, plotter.XY{X: x, Y: 0.2})
		case rollout.EventBegan, rollout.EventPromoted:
			line = append(line, plotter.XY{X: x, Y: float64(m.Step) + 1})
		case rollout.EventReleased:
			line = append(line, plotter.XY{X: x, Y: 0})
			released = append(released, plotter.XY{X: x, Y: float64(len(s.Steps)) + 1})
		case rollout.EventRollingBack:
			line = append(line, plotter.XY{X: x, Y: 0})
			back = append(back, plotter.XY{X: x, Y: float64(m.Step) + 1})
		}
	}
	l, err := plotter.NewLine(append(line, plotter.XY{X: r.Days * 24, Y: line[len(line)-1].Y}))
	if err != nil {
		return "", err
	}
	l.StepStyle, l.Color = plotter.PostStep, blue
	c.Add(l)
	for _, x := range []struct {
		at   plotter.XYs
		c    color.Color
		name string
	}{{offered, orange, "offered"}, {released, green, "released"}, {back, red, "sent back"}} {
		if err := addMarks(c, x.at, x.c, x.name); err != nil {
			return "", err
		}
	}
	c.Legend.Top = true
	return SVG(c)
}

// exposure draws the highest part of any allowance that was used, by service and ten minutes.
func (r *Result) exposureChart(p *plan.Plan) (template.HTML, error) {
	c, err := r.chart("Exposure: the highest part of an allowance (cap times queries, and a leg) that a group of a relay used", "part", 1.2)
	if err != nil {
		return "", err
	}
	limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: 1}, {X: r.Days * 24, Y: 1}})
	if err != nil {
		return "", err
	}
	limit.Color = red
	c.Add(limit)
	c.Legend.Add("the cap", limit)
	for i, s := range p.Services {
		var at plotter.XYs
		for _, u := range r.AllowanceUse {
			if u.Service == s.Name {
				at = append(at, plotter.XY{X: u.Hour, Y: min(u.Max, 1.2)})
			}
		}
		if err := addMarks(c, at, []color.Color{blue, green, orange}[i%3], s.Name); err != nil {
			return "", err
		}
	}
	return SVG(c)
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

type blockedTime struct {
	Code string
	For  float64
}

// Report writes the page of a run into a directory; under another name first, so that none is ever half there.
func (r *Result) Report(p *plan.Plan, dir string) (string, error) {
	data := struct {
		R      *Result
		Charts []template.HTML
		Held   []blockedTime
	}{R: r}
	for i := range p.Services {
		c, err := r.timelineChart(p, i)
		if err != nil {
			return "", err
		}
		data.Charts = append(data.Charts, c)
	}
	c, err := r.exposureChart(p)
	if err != nil {
		return "", err
	}
	data.Charts = append(data.Charts, c)
	for code, s := range r.BlockedFor {
		data.Held = append(data.Held, blockedTime{code, s})
	}
	sort.Slice(data.Held, func(i, j int) bool { return data.Held[i].For > data.Held[j].For })
	return writePage(dir, "plan.html", page, data)
}

// WriteFile puts a file in place whole, or not at all.
func WriteFile(name string, b []byte) error {
	if err := os.WriteFile(name+".part", b, 0o644); err != nil {
		return err
	}
	return os.Rename(name+".part", name)
}

// writePage writes a page into a directory, whole or not at all.
func writePage(dir, name string, page *template.Template, data any) (string, error) {
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	name = filepath.Join(dir, name)
	return name, WriteFile(name, b.Bytes())
}
