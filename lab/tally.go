package lab

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Share sums up a set of requests: their number, their priority weight, and how much of that weight was answered in time.
type Share struct {
	Requests       int     `json:"queries"`
	WeightOffered  float64 `json:"value_asked"`
	WeightServed   float64 `json:"value_served"`
	ServedFraction float64 `json:"service"`
}

func (s *Share) add(offered, served float64) {
	s.WeightOffered += offered
	s.WeightServed += served
}

// withFraction sets the fraction and returns a copy of the share.
func (s *Share) withFraction() Share {
	if s.WeightOffered > 0 {
		s.ServedFraction = s.WeightServed / s.WeightOffered
	}
	return *s
}

// ReplayResult holds the figures of a replay. Times are in seconds.
type ReplayResult struct {
	Seed               int64              `json:"seed"`
	Relays             int                `json:"relays"`
	Endpoints          int                `json:"units"`
	Duration           float64            `json:"span_s"`
	All                Share              `json:"all"`
	Classes            map[string]Share   `json:"categories"`
	Tenants            map[string]Share   `json:"customers"`
	Worst10            float64            `json:"worst_10s"` // lowest served fraction of any interval of 10 s
	Tail               float64            `json:"tail"`      // fraction of the weight that the tail metric counts
	Score              float64            `json:"figure"`    // weighted sum of the served fractions, before any deductions
	CrossSiteAttempts  int                `json:"crossings"` // attempts to the other site
	Rejected           int                `json:"denied"`
	Failed             int                `json:"written_off"`
	Unanswered         int                `json:"unanswered"`
	Attempts           int                `json:"legs"`
	AttemptsPerRequest float64            `json:"legs_a_query"`
	Latency            map[string]float64 `json:"latency_s"` // quantiles over requests that succeeded, from their intended start
	Violations         []Violation        `json:"broken"`
	TimelineHash       string             `json:"timeline_sha256,omitempty"`

	series *series
}

// Parameters of the worst interval, and the unit of latencies.
const (
	worstIntervalSeconds = 10.0 // length of an interval in which the served fraction is measured
	minIntervalRequests  = 20   // an interval with fewer requests does not count
	microsPerSecond      = 1e6  // latencies are kept in microseconds
	maxLatencyMicros     = 60e6 // highest latency that is recorded
)

// latencyQuantiles are the quantiles in a result, in percent, by name.
var latencyQuantiles = map[string]float64{"p50": 50, "p90": 90, "p99": 99, "p99.9": 99.9, "max": 100}

// RequestOutcome is the outcome of a request for its client.
type RequestOutcome int

// The outcomes of a request.
const (
	RequestSucceeded RequestOutcome = iota
	RequestRejected
	RequestFailed
	RequestUnanswered // no answer came by the deadline
)

// CountedRequest is a request in the form that a Tally counts.
type CountedRequest struct {
	At     float64 // s; the time at which it was to be sent
	Class  int     // index of the lab's classes
	Tenant int     // index of the tally's tenants; their number for a tenant without a group
	Work   float64 // s on a core of speed 1
}

func (r *CountedRequest) class() *requestClass { return &requestClasses[r.Class] }

// weight returns the priority weight of the request.
func (r *CountedRequest) weight() float64 { return r.class().priorityWeight * r.Work }

// intervalIndex returns the index of the interval in which the request was to be sent.
func (r *CountedRequest) intervalIndex() int64 { return int64(r.At / worstIntervalSeconds) }

// Tally counts the requests of a replay, in virtual time or over sockets. Priority weight is offered when a request arrives;
// it is served if the request succeeds within its latency objective, from the time at which it was to be sent.
type Tally struct {
	all           Share
	classes       []Share
	tenants       []Share
	tenantNames   []string
	interval      Share // the current one
	intervalIndex int64
	worstFraction float64 // lowest fraction served in an interval
	latency       *hdrhistogram.Histogram
	tail          tail
	series        series
	rejected      int
	failed        int
	unanswered    int
}

// NewTally returns an empty tally of requests by the given tenants, and by one without a group.
func NewTally(tenants []string) *Tally {
	return &Tally{
		classes:       make([]Share, len(requestClasses)),
		tenants:       make([]Share, len(tenants)+1),
		tenantNames:   tenants,
		worstFraction: 1,
		latency:       hdrhistogram.New(1, maxLatencyMicros, 3),
		tail:          tail{cells: make([][openTailCells]tailCell, len(requestClasses))},
		series:        series{width: 1},
	}
}

// RequestArrived counts a request that arrives; busy is the current fraction of the endpoints' cores that are busy.
func (t *Tally) RequestArrived(request CountedRequest, busy float64) {
	weight := request.weight()
	point := t.series.pointAt(request.At)
	point.arrived++
	point.busy += busy
	if index := request.intervalIndex(); index != t.intervalIndex {
		t.endInterval()
		t.intervalIndex = index
	}
	for _, share := range []*Share{&t.all, &t.classes[request.Class], &t.tenants[request.Tenant], &t.interval} {
		share.Requests++
		share.add(weight, 0)
	}
	if cell := t.tail.cellOf(request.Class, request.At); cell != nil {
		cell.requests++
		cell.offered += weight
	}
}

// endInterval ends the current interval.
func (t *Tally) endInterval() {
	if t.interval.Requests >= minIntervalRequests {
		t.worstFraction = math.Min(t.worstFraction, t.interval.WeightServed/t.interval.WeightOffered)
	}
	t.interval = Share{}
}

// RequestEnded counts the end of a request.
func (t *Tally) RequestEnded(request CountedRequest, now float64, outcome RequestOutcome) {
	latency := now - request.At
	inTime := now <= request.At+request.class().objective
	point := t.series.pointAt(request.At)
	cell := t.tail.cellOf(request.Class, request.At)
	switch outcome {
	case RequestUnanswered:
		t.unanswered++
		point.failed++
	case RequestFailed:
		t.failed++
		point.failed++
	case RequestRejected:
		t.rejected++
		point.rejected++
		if cell != nil && inTime {
			cell.rejectedInTime++
		}
	case RequestSucceeded:
		t.recordLatency(point, latency)
		if !inTime {
			point.late++
			return
		}
		point.inTime++
		t.servedInTime(request, cell)
	}
}

// recordLatency records the latency of a request that succeeded. Latencies above maxLatencyMicros are left out.
func (t *Tally) recordLatency(point *point, latency float64) {
	micros := int64(latency * microsPerSecond)
	_ = point.histogram().RecordValue(micros) // the error means that the value is above the bound
	_ = t.latency.RecordValue(micros)         // likewise
}

// servedInTime counts the weight of a request that succeeded in time. If its interval is over by then, its weight is not
// counted there.
func (t *Tally) servedInTime(request CountedRequest, cell *tailCell) {
	weight := request.weight()
	if cell != nil {
		cell.inTime++
		cell.served += weight
	}
	t.all.add(0, weight)
	t.classes[request.Class].add(0, weight)
	t.tenants[request.Tenant].add(0, weight)
	if request.intervalIndex() == t.intervalIndex {
		t.interval.add(0, weight)
	}
}

// Result ends the tally and returns its part of the result. No request may be counted after that.
func (t *Tally) Result() ReplayResult {
	t.endInterval()
	result := ReplayResult{
		All:        t.all.withFraction(),
		Classes:    map[string]Share{},
		Tenants:    map[string]Share{},
		Worst10:    t.worstFraction,
		Tail:       t.tail.fraction(),
		Rejected:   t.rejected,
		Failed:     t.failed,
		Unanswered: t.unanswered,
		Latency:    map[string]float64{},
		Violations: []Violation{}, // an empty list in JSON
		series:     &t.series,
	}
	for i := range t.classes {
		if share := t.classes[i].withFraction(); share.Requests > 0 {
			result.Classes[requestClasses[i].name] = share
		}
	}
	for i, name := range t.tenantNames {
		result.Tenants[name] = t.tenants[i].withFraction()
	}
	result.Score = result.score()
	for name, quantile := range latencyQuantiles {
		result.Latency[name] = float64(t.latency.ValueAtQuantile(quantile)) / microsPerSecond
	}
	return result
}
