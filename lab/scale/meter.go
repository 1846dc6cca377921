package scale

import (
	"cmp"
	"runtime/metrics"
	"slices"

	"golang.org/x/sys/unix"
)

// datagramOverhead is the size of the UDP and IP headers in bytes.
const datagramOverhead = 28

// class is the protocol that a message belongs to.
type class int

const (
	policyClass     class = iota // datagrams between the relays' decision code
	membershipClass              // datagrams of the membership protocol
	discoveryClass               // polls of discovery and their answers, without TCP overhead
	platformClass                // votes and lines of the platform, without TCP overhead
	classCount
)

// traffic counts messages and bytes.
type traffic struct {
	messagesIn, messagesOut int64
	bytesIn, bytesOut       int64
	broadcasts              int64 // outgoing messages to all relays of the service, each counted once
}

// meter counts the resource use and the activity of one relay over all of its incarnations.
type meter struct {
	processorTime      int64 // processor time of the real code in ns, without handling the first list of each incarnation
	startProcessorTime int64 // processor time for handling these first lists in ns
	aliveSeconds       float64
	classes            [classCount]traffic
	aggregated         bool // whether it has sent decisions as an aggregator
	requests           requestCounts
	listsRejected      int // lists that the real reader rejected as a whole
	removedByPeers     int // endpoints that peers reported as removed
	unreadable         int // messages, lists and lines that the real code rejected
}

// requestCounts count requests by result, and their attempts.
type requestCounts struct {
	Received            int64 `json:"taken"`
	Succeeded           int64 `json:"honoured"`
	Rejected            int64 `json:"denied"`
	Failed              int64 `json:"written_off"`
	ClientsDisconnected int64 `json:"left_unanswered"`
	Open                int64 `json:"open_at_the_end"`
	Attempts            int64 `json:"attempts"`
}

func (c *requestCounts) add(other requestCounts) {
	c.Received += other.Received
	c.Succeeded += other.Succeeded
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.ClientsDisconnected += other.ClientsDisconnected
	c.Open += other.Open
	c.Attempts += other.Attempts
}

func (m *meter) sent(c class, bytes int) {
	m.classes[c].messagesOut++
	m.classes[c].bytesOut += int64(bytes)
}

func (m *meter) received(c class, bytes int) {
	m.classes[c].messagesIn++
	m.classes[c].bytesIn += int64(bytes)
}

// threadTime returns the processor time of this thread in nanoseconds, or 0 if it is unknown. The caller's goroutine must be
// locked to its thread.
func threadTime() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return t.Nano()
}

// collectorSeconds returns the processor time of the garbage collector's dedicated workers, which no instance's figure includes.
func collectorSeconds() float64 {
	sample := []metrics.Sample{{Name: "/cpu/classes/gc/mark/dedicated:cpu-seconds"}}
	if metrics.Read(sample); sample[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return sample[0].Value.Float64()
}

// peakMemoryMB returns the peak memory of the process in MB, or 0 if it is unknown.
func peakMemoryMB() float64 {
	var e unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &e) != nil {
		return 0
	}
	return float64(e.Maxrss) / 1024
}

// observation is a figure of one instance, with the number of instances that it represents.
type observation struct{ value, weight float64 }

// Distribution summarizes the values of a figure over instances.
type Distribution struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"most"`
}

// distributionOf returns the weighted distribution of observations. The 99th percentile is the smallest value that at
// least 99 % of the instances do not exceed.
func distributionOf(observations []observation) Distribution {
	totalWeight, sum := 0.0, 0.0
	for _, o := range observations {
		totalWeight += o.weight
		sum += o.weight * o.value
	}
	if totalWeight == 0 {
		return Distribution{}
	}
	sorted := slices.Clone(observations)
	slices.SortFunc(sorted, func(a, b observation) int {
		return cmp.Compare(a.value, b.value)
	})
	return Distribution{
		Mean: sum / totalWeight,
		P99:  weightedQuantile(sorted, 0.99*totalWeight),
		Max:  sorted[len(sorted)-1].value,
	}
}

// weightedQuantile returns the smallest value for which the observations up to that value have at least the given weight.
func weightedQuantile(sorted []observation, weight float64) float64 {
	const rounding = 1e-9 // allowance for rounding errors in the sum of weights
	weightSoFar := 0.0
	for _, o := range sorted {
		weightSoFar += o.weight
		if weightSoFar >= weight-rounding {
			return o.value
		}
	}
	return sorted[len(sorted)-1].value
}
