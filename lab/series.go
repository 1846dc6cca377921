package lab

import (
	"html/template"
	"image/color"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// maxPoints bounds a series: where a replay is longer, two neighbours become one and the width doubles.
const maxPoints = 240

// point is what happened to the queries that came within one width.
type point struct {
	arrived, inTime, late, rejected, failed int
	busy                                    float64 // sum over arrivals of the part of the planners' cores that worked
	latency                                 *hdrhistogram.Histogram
}

func (p *point) add(o *point) {
	p.arrived, p.inTime, p.late = p.arrived+o.arrived, p.inTime+o.inTime, p.late+o.late
	p.rejected, p.failed, p.busy = p.rejected+o.rejected, p.failed+o.failed, p.busy+o.busy
	if o.latency != nil {
		p.histogram().Merge(o.latency)
	}
}

func (p *point) histogram() *hdrhistogram.Histogram {
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
func (s *series) pointAt(t float64) *point {
	i := int(t / s.width)
	for i >= maxPoints {
		half := make([]point, 0, maxPoints)
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
	name  string
	color color.Color
	value func(*point) (float64, bool)
}

func (s *series) chart(title, y string, curves ...curve) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", y
	p.Y.Min = 0
	p.Legend.Top = true
	for _, c := range curves {
		var at plotter.XYs
		for i := range s.points {
			if v, ok := c.value(&s.points[i]); ok {
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
		l.Color = c.color
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
		{"What became of queries, by when they came", "a second", []curve{{"came", color.Gray{120}, rate(func(p *point) int { return p.arrived })},
			{"honoured in due time", green, rate(func(p *point) int { return p.inTime })}, {"honoured late", orange, rate(func(p *point) int { return p.late })},
			{"denied", blue, rate(func(p *point) int { return p.rejected })}, {"written off", red, rate(func(p *point) int { return p.failed })}}},
		{"Latency of honoured queries, from the intended start", "s", []curve{{"half", green, quantile(50)}, {"nine in ten", orange, quantile(90)}, {"99 in 100", red, quantile(99)}}},
		{"Planners' cores that worked", "part", []curve{{"busy", blue, func(p *point) (float64, bool) { return p.busy / float64(max(p.arrived, 1)), p.arrived > 0 }}}},
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
<h1>A trace replayed</h1><p>{{.How}}: {{.R.All.Requests}} queries over {{printf "%.1f" .R.Duration}} s, {{.R.Relays}} relays, {{.R.Endpoints}} planners, seed {{.R.Seed}}.</p>
<table><tr><th></th><th>queries</th><th>service</th></tr><tr><td>all</td><td>{{.R.All.Requests}}</td><td>{{printf "%.4f" .R.All.ServedFraction}}</td></tr>
<tr><td>worst 10 s</td><td></td><td>{{printf "%.4f" .R.Worst10}}</td></tr>
{{range $k, $v := .R.Classes}}<tr><td>{{$k}}</td><td>{{$v.Requests}}</td><td>{{printf "%.4f" $v.ServedFraction}}</td></tr>{{end}}
{{range $k, $v := .R.Tenants}}<tr><td>{{$k}}</td><td>{{$v.Requests}}</td><td>{{printf "%.4f" $v.ServedFraction}}</td></tr>{{end}}</table>
{{range .Charts}}{{.}}
{{end}}<p>Timeline {{.R.TimelineHash}}</p></body></html>
`))

// Report writes the page of a replay into a directory, whole or not at all.
func (r *ReplayResult) Report(dir, how string) (string, error) {
	charts, err := r.series.charts()
	if err != nil {
		return "", err
	}
	return writePage(dir, "replay.html", replayPage, struct {
		R      *ReplayResult
		How    string
		Charts []template.HTML
	}{r, strings.ToUpper(how[:1]) + how[1:], charts})
}
