package scale

import (
	"cmp"
	"runtime/metrics"
	"slices"

	"golang.org/x/sys/unix"
)

// datagramOverhead is the bytes of UDP's and IP's headers.
const datagramOverhead = 28

// class is what a message is for.
type class int

const (
	policyClass     class = iota // the decision code's datagrams between relays
	membershipClass              // the membership protocol's
	discoveryClass               // calls to discovery and its answers, without TCP's overhead
	platformClass                // the platform's lines, votes among them, without TCP's overhead
	classCount
)

// traffic counts messages and bytes.
type traffic struct {
	messagesIn, messagesOut int64
	bytesIn, bytesOut       int64
	broadcasts              int64 // of the messages out, those that were addressed to all relays of the service
}

// meter is what one relay has used and done so far, over all of its lives.
type meter struct {
	processorTime      int64 // ns of the real code, without that of the first whole list of each life
	startProcessorTime int64 // ns of that list
	aliveSeconds       float64
	classes            [classCount]traffic
	aggregated         bool // it has told the others what it finds
	requests           requestCounts
	listsRejected      int
	removedByPeers     int // units that peers told of as having left
	unreadable         int // messages, lists and lines that the real code refused
}

// requestCounts are requests by how they ended.
type requestCounts struct {
	Received            int64 `json:"taken"`
	Succeeded           int64 `json:"honoured"`
	Rejected            int64 `json:"denied"`
	Failed              int64 `json:"written_off"`
	ClientsDisconnected int64 `json:"left_unanswered"`
	Open                int64 `json:"open_at_the_end"`
	Attempts            int64 `json:"attempts"`
}

func (c *requestCounts) add(o requestCounts) {
	c.Received += o.Received
	c.Succeeded += o.Succeeded
	c.Rejected += o.Rejected
	c.Failed += o.Failed
	c.ClientsDisconnected += o.ClientsDisconnected
	c.Open += o.Open
	c.Attempts += o.Attempts
}

func (m *meter) sent(c class, bytes int) {
	m.classes[c].messagesOut++
	m.classes[c].bytesOut += int64(bytes)
}

func (m *meter) received(c class, bytes int) {
	m.classes[c].messagesIn++
	m.classes[c].bytesIn += int64(bytes)
}

// threadTime is the processor time of this thread in nanoseconds. Callers lock their goroutine to it.
func threadTime() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return t.Nano()
}

// collectorSeconds is the processor time that the garbage collector's own threads have taken, which no instance's share
// holds.
func collectorSeconds() float64 {
	sample := []metrics.Sample{{Name: "/cpu/classes/gc/mark/dedicated:cpu-seconds"}}
	if metrics.Read(sample); sample[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return sample[0].Value.Float64()
}

// peakMemoryMB is the most memory that the process ever held.
func peakMemoryMB() float64 {
	var e unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &e) != nil {
		return 0
	}
	return float64(e.Maxrss) / 1024
}

// observation is a figure of one instance, and how many it stands for.
type observation struct{ value, weight float64 }

// Distribution is a figure over instances.
type Distribution struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"most"`
}

// distribute sums observations up. The 99th percentile is the least value that at least 99 in 100 do not exceed.
func distribute(list []observation) (d Distribution) {
	total, sum := 0.0, 0.0
	for _, o := range list {
		total += o.weight
		sum += o.weight * o.value
	}
	if total == 0 {
		return d
	}
	d.Mean = sum / total
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b observation) int {
		return cmp.Compare(a.value, b.value)
	})
	seen := 0.0
	for _, o := range sorted {
		seen += o.weight
		d.P99 = o.value
		if seen >= 0.99*total-1e-9 {
			break
		}
	}
	d.Max = sorted[len(sorted)-1].value
	return d
}
