package lab

import (
	"html/template"
	"image/color"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// maxPoints bounds the length of a series: in longer replays, every two neighbouring points are merged and the width
// doubles.
const maxPoints = 240

// point holds the outcomes of the requests that arrived within one width of the series.
type point struct {
	arrived  int
	inTime   int
	late     int
	rejected int
	failed   int
	busy     float64                 // sum over arrivals of the fraction of the endpoints' cores that were busy
	latency  *hdrhistogram.Histogram // microseconds, requests that succeeded; nil: none yet
}

// add merges another point into this one.
func (p *point) add(other *point) {
	p.arrived += other.arrived
	p.inTime += other.inTime
	p.late += other.late
	p.rejected += other.rejected
	p.failed += other.failed
	p.busy += other.busy
	if other.latency != nil {
		p.histogram().Merge(other.latency)
	}
}

// histogram returns the histogram of latencies in microseconds. The first call creates it.
func (p *point) histogram() *hdrhistogram.Histogram {
	if p.latency == nil {
		p.latency = hdrhistogram.New(1, maxLatencyMicros, 2)
	}
	return p.latency
}

// series records the course of a replay in bounded memory, whatever its length.
type series struct {
	width  float64 // s; time that a point covers
	points []point
}

// pointAt returns the point that covers a time.
func (s *series) pointAt(at float64) *point {
	for int(at/s.width) >= maxPoints {
		s.halve()
	}
	index := int(at / s.width)
	for len(s.points) <= index {
		s.points = append(s.points, point{})
	}
	return &s.points[index]
}

// halve doubles the width: it merges every two neighbouring points.
func (s *series) halve() {
	half := make([]point, 0, maxPoints)
	for i := 0; i < len(s.points); i += 2 {
		merged := s.points[i]
		if i+1 < len(s.points) {
			merged.add(&s.points[i+1])
		}
		half = append(half, merged)
	}
	s.points, s.width = half, 2*s.width
}

// curve is a line of a chart.
type curve struct {
	name  string
	color color.Color
	value func(*point) (value float64, ok bool) // not ok: the point has no value
}

func (s *series) chart(title, yLabel string, curves []curve) (template.HTML, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = title, "s", yLabel
	chart.Y.Min = 0
	chart.Legend.Top = true
	for _, curve := range curves {
		values := s.values(curve)
		if len(values) == 0 {
			continue
		}
		line, err := plotter.NewLine(values)
		if err != nil {
			return "", err
		}
		line.Color = curve.color
		chart.Add(line)
		chart.Legend.Add(curve.name, line)
	}
	return SVG(chart)
}

// values returns the values of a curve, each placed in the middle of its point's width.
func (s *series) values(curve curve) (values plotter.XYs) {
	for i := range s.points {
		if value, ok := curve.value(&s.points[i]); ok {
			values = append(values, plotter.XY{X: (float64(i) + 0.5) * s.width, Y: value})
		}
	}
	return values
}

// perSecond turns a count into a rate per second.
func (s *series) perSecond(count func(*point) int) func(*point) (float64, bool) {
	return func(p *point) (float64, bool) { return float64(count(p)) / s.width, true }
}

// latencyQuantile returns the value function of a curve: a quantile, given in percent, of the latencies in seconds.
func latencyQuantile(quantile float64) func(*point) (float64, bool) {
	return func(p *point) (float64, bool) {
		if p.latency == nil || p.latency.TotalCount() == 0 {
			return 0, false
		}
		return float64(p.latency.ValueAtQuantile(quantile)) / microsPerSecond, true
	}
}

// busyCores returns the mean fraction of the endpoints' cores that were busy.
func busyCores(p *point) (float64, bool) { return p.busy / float64(max(p.arrived, 1)), p.arrived > 0 }

func (s *series) charts() (charts []template.HTML, err error) {
	outcomes := []curve{
		{"came", color.Gray{120}, s.perSecond(func(p *point) int { return p.arrived })},
		{"honoured in due time", green, s.perSecond(func(p *point) int { return p.inTime })},
		{"honoured late", orange, s.perSecond(func(p *point) int { return p.late })},
		{"denied", blue, s.perSecond(func(p *point) int { return p.rejected })},
		{"written off", red, s.perSecond(func(p *point) int { return p.failed })},
	}
	latencies := []curve{
		{"half", green, latencyQuantile(50)},
		{"nine in ten", orange, latencyQuantile(90)},
		{"99 in 100", red, latencyQuantile(99)},
	}
	for _, chart := range []struct {
		title, yLabel string
		curves        []curve
	}{
		{"What became of queries, by when they came", "a second", outcomes},
		{"Latency of honoured queries, from the intended start", "s", latencies},
		{"Planners' cores that worked", "part", []curve{{"busy", blue, busyCores}}},
	} {
		drawn, err := s.chart(chart.title, chart.yLabel, chart.curves)
		if err != nil {
			return nil, err
		}
		charts = append(charts, drawn)
	}
	return charts, nil
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

// Report writes the HTML page of a replay into a directory, in full or not at all, and returns its file name. The page
// begins with the text of how, which says how the replay was made and must not be empty.
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
