package lab

import (
	"html/template"
	"image/color"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// mostPoints bounds a series: where a replay is longer, two neighbours become one and the width doubles.
const mostPoints = 240

// point is what happened to the queries that came within one width.
type point struct {
	asked, inTime, late, denied, writtenOff int
	busy                                    float64 // sum over arrivals of the part of the planners' cores that worked
	latency                                 *hdrhistogram.Histogram
}

func (p *point) add(o *point) {
	p.asked, p.inTime, p.late = p.asked+o.asked, p.inTime+o.inTime, p.late+o.late
	p.denied, p.writtenOff, p.busy = p.denied+o.denied, p.writtenOff+o.writtenOff, p.busy+o.busy
	if o.latency != nil {
		p.hist().Merge(o.latency)
	}
}

func (p *point) hist() *hdrhistogram.Histogram {
	if p.latency == nil {
		p.latency = hdrhistogram.New(1, 60e6, 2)
	}
	return p.latency
}

// series keeps a replay over time, in bounded memory whatever its length.
type series struct {
	width  float64 // s
	points []point
}

// at gives the point of a time.
func (s *series) at(t float64) *point {
	i := int(t / s.width)
	for i >= mostPoints {
		half := make([]point, 0, mostPoints)
		for k := 0; k < len(s.points); k += 2 {
			p := s.points[k]
			if k+1 < len(s.points) {
				p.add(&s.points[k+1])
			}
			half = append(half, p)
		}
		s.points, s.width = half, s.width*2
		i = int(t / s.width)
	}
	for len(s.points) <= i {
		s.points = append(s.points, point{})
	}
	return &s.points[i]
}

// curve is one line of a chart.
type curve struct {
	name string
	c    color.Color
	of   func(*point) (float64, bool)
}

func (s *series) chart(title, y string, curves ...curve) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", y
	p.Y.Min = 0
	p.Legend.Top = true
	for _, c := range curves {
		var at plotter.XYs
		for i := range s.points {
			if v, ok := c.of(&s.points[i]); ok {
				at = append(at, plotter.XY{X: (float64(i) + 0.5) * s.width, Y: v})
			}
		}
		if len(at) == 0 {
			continue
		}
		l, err := plotter.NewLine(at)
		if err != nil {
			return "", err
		}
		l.Color = c.c
		p.Add(l)
		p.Legend.Add(c.name, l)
	}
	return SVG(p)
}

func (s *series) charts() (out []template.HTML, err error) {
	rate := func(f func(*point) int) func(*point) (float64, bool) {
		return func(p *point) (float64, bool) { return float64(f(p)) / s.width, true }
	}
	quantile := func(q float64) func(*point) (float64, bool) {
		return func(p *point) (float64, bool) {
			if p.latency == nil || p.latency.TotalCount() == 0 {
				return 0, false
			}
			return float64(p.latency.ValueAtQuantile(q)) / 1e6, true
		}
	}
	for _, c := range []struct {
		title, y string
		curves   []curve
	}{
		{"What became of queries, by when they came", "a second", []curve{{"came", color.Gray{120}, rate(func(p *point) int { return p.asked })},
			{"honoured in due time", green, rate(func(p *point) int { return p.inTime })}, {"honoured late", orange, rate(func(p *point) int { return p.late })},
			{"denied", blue, rate(func(p *point) int { return p.denied })}, {"written off", red, rate(func(p *point) int { return p.writtenOff })}}},
		{"Latency of honoured queries, from the intended start", "s", []curve{{"half", green, quantile(50)}, {"nine in ten", orange, quantile(90)}, {"99 in 100", red, quantile(99)}}},
		{"Planners' cores that worked", "part", []curve{{"busy", blue, func(p *point) (float64, bool) { return p.busy / float64(max(p.asked, 1)), p.asked > 0 }}}},
	} {
		h, err := s.chart(c.title, c.y, c.curves...)
		if err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

var replayPage = template.Must(template.New("replay").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>lichenroad: a trace replayed</title><style>
body{font-family:sans-serif;max-width:68em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}svg{max-width:100%;height:auto}</style></head><body>
<h1>A trace replayed</h1><p>{{.How}}: {{.R.All.Queries}} queries over {{printf "%.1f" .R.Span}} s, {{.R.Relays}} relays, {{.R.Units}} planners, seed {{.R.Seed}}.</p>
<table><tr><th></th><th>queries</th><th>service</th></tr><tr><td>all</td><td>{{.R.All.Queries}}</td><td>{{printf "%.4f" .R.All.Service}}</td></tr>
<tr><td>worst 10 s</td><td></td><td>{{printf "%.4f" .R.Worst10}}</td></tr>
{{range $k, $v := .R.Categories}}<tr><td>{{$k}}</td><td>{{$v.Queries}}</td><td>{{printf "%.4f" $v.Service}}</td></tr>{{end}}
{{range $k, $v := .R.Customers}}<tr><td>{{$k}}</td><td>{{$v.Queries}}</td><td>{{printf "%.4f" $v.Service}}</td></tr>{{end}}</table>
{{range .Charts}}{{.}}
{{end}}<p>Timeline {{.R.Hash}}</p></body></html>
`))

// Report writes the page of a replay into a directory, whole or not at all.
func (r *Replayed) Report(dir, how string) (string, error) {
	charts, err := r.series.charts()
	if err != nil {
		return "", err
	}
	return putPage(dir, "replay.html", replayPage, struct {
		R      *Replayed
		How    string
		Charts []template.HTML
	}{r, strings.ToUpper(how[:1]) + how[1:], charts})
}
