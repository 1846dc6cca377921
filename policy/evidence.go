package policy

import (
	"fmt"
	"math"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// s a bucket of outcomes
	evidenceBucketTime = 0.5
	// 12 s: two lives of a verdict, long enough for 20 outcomes of a rare class
	evidenceBuckets = 24
	// 4 s of attempts that show slowness: load changes faster than builds do
	slownessBuckets = 8
	// s after the last attempt at earlier machines that these still show the present load
	earlierRatioLife = 0.5
)

// outcomeCounts are outcomes of one build in one class. The sums of logarithms are over attempts of the
// youngest few buckets alone.
type outcomeCounts struct {
	attempts float64
	failed   float64
	late     float64

	measured float64     // attempts whose usual latency ratio is known
	overall  logRatioSum // of their ratio over the usual one

	matched  float64     // measured ones of the newest build while earlier machines showed the present load
	relative logRatioSum // of their ratio over what those showed at the moment
}

// logRatioSum is a sum of logarithms of a ratio, and of their squares.
type logRatioSum struct {
	sum     float64
	squares float64
}

// The columns of an endpoint's evidence, for each class.
const (
	columnAttempts = iota
	columnFailed
	columnLate
	columnMeasured // the columns from here on count for slownessBuckets alone
	columnOverallSum
	columnOverallSquares
	columnMatched
	columnRelativeSum
	columnRelativeSquares
	evidenceColumns
)

func (c *outcomeCounts) add(other *outcomeCounts) {
	c.attempts += other.attempts
	c.failed += other.failed
	c.late += other.late
	c.measured += other.measured
	c.overall.add(other.overall)
	c.matched += other.matched
	c.relative.add(other.relative)
}

func (s *logRatioSum) add(other logRatioSum) {
	s.sum += other.sum
	s.squares += other.squares
}

// addColumns adds one class's columns of a bucket.
func (c *outcomeCounts) addColumns(columns []float32, withSlowness bool) {
	c.attempts += float64(columns[columnAttempts])
	c.failed += float64(columns[columnFailed])
	c.late += float64(columns[columnLate])
	if !withSlowness {
		return
	}
	c.measured += float64(columns[columnMeasured])
	c.overall.sum += float64(columns[columnOverallSum])
	c.overall.squares += float64(columns[columnOverallSquares])
	c.matched += float64(columns[columnMatched])
	c.relative.sum += float64(columns[columnRelativeSum])
	c.relative.squares += float64(columns[columnRelativeSquares])
}

// String is how counts stand in the log.
func (c outcomeCounts) String() string {
	return fmt.Sprintf("%.0f attempts (%.0f failed, %.0f late, %.0f measured, %.0f matched)",
		c.attempts, c.failed, c.late, c.measured, c.matched)
}

// estimate is the mean of a logarithm of a latency ratio, with its standard error.
type estimate struct {
	mean     float64
	stdError float64
}

func newEstimate(samples float64, of logRatioSum) estimate {
	n := math.Max(samples, 1)
	mean := of.sum / n
	return estimate{mean: mean, stdError: math.Sqrt(math.Max(of.squares/n-mean*mean, 0) / n)}
}

// overallSlowness is how slow the measured attempts were against the usual ratios.
func (c *outcomeCounts) overallSlowness() estimate { return newEstimate(c.measured, c.overall) }

// relativeSlowness is how slow the matched attempts were against the earlier machines at the same moments.
func (c *outcomeCounts) relativeSlowness() estimate { return newEstimate(c.matched, c.relative) }

// exceeds says whether attempts took some times longer, beyond what chance explains.
func (e estimate) exceeds(times float64) bool {
	return e.mean > math.Log(times) && e.mean > flagStandardErrors*e.stdError
}

// recordEvidence adds an attempt to what the endpoint showed. Usual is the ratio that is usual there; 0:
// not known.
func (e *trackedEndpoint) recordEvidence(
	observed peerwire.Observation, source evidenceSource, usual float64,
) {
	now := e.p.now
	first := int(observed.Class) * evidenceColumns
	evidence := &e.evidence[source]
	evidence.Add(now, first+columnAttempts, 1)
	if source == ownEvidence && observed.Newest {
		e.p.canary.newestAttempts.Add(now, int(observed.Class), 1)
	}
	if observed.Outcome == relay.Errored || observed.Outcome == relay.ConnectionBroken {
		evidence.Add(now, first+columnFailed, 1)
	} else if observed.Late && !observed.Young {
		evidence.Add(now, first+columnLate, 1)
	}
	if observed.Young || usual <= 0 || observed.Ratio <= 0 {
		return
	}
	e.recordSlowness(evidence, first, observed.Newest, math.Log(observed.Ratio/usual))
}

// recordSlowness adds the logarithm of an attempt's ratio over the usual one.
func (e *trackedEndpoint) recordSlowness(evidence *window.Sliding, first int, newest bool, logRatio float64) {
	now, latency := e.p.now, &e.p.latency
	evidence.Add(now, first+columnMeasured, 1)
	evidence.Add(now, first+columnOverallSum, logRatio)
	evidence.Add(now, first+columnOverallSquares, logRatio*logRatio)
	if !newest {
		latency.earlier.Add(logRatio, fleetRatioStep)
		latency.earlierAt = now
		return
	}
	if latency.earlier.Samples >= minRatioSamples && now-latency.earlierAt < earlierRatioLife {
		relative := logRatio - latency.earlier.Value
		evidence.Add(now, first+columnMatched, 1)
		evidence.Add(now, first+columnRelativeSum, relative)
		evidence.Add(now, first+columnRelativeSquares, relative*relative)
	}
}

// evidenceCounts is what the endpoint showed in one class, or in all of them where class is their number,
// in buckets that are at least from and less than to buckets old: to this relay alone, or pooled with what
// others reported.
func (e *trackedEndpoint) evidenceCounts(pooled bool, class, from, to int) (counts outcomeCounts) {
	for source := range e.evidence {
		evidence := &e.evidence[source]
		if evidenceSource(source) == peerEvidence && !pooled || evidence.Idle(e.p.now) {
			continue
		}
		evidence.Advance(e.p.now)
		for age := from; age < to; age++ {
			columns, ok := evidence.Bucket(age)
			if !ok {
				break
			}
			if class < len(e.p.classes) {
				columns = columns[class*evidenceColumns : (class+1)*evidenceColumns]
			}
			for ; len(columns) > 0; columns = columns[evidenceColumns:] {
				if columns[columnAttempts] == 0 {
					continue // most endpoints are met by hardly anybody in most buckets: no column stands without it
				}
				counts.addColumns(columns, age < from+slownessBuckets)
			}
		}
	}
	return counts
}

// fleetCounts sums the slowness of all endpoints, whatever their build and whoever saw it.
func (c *canary) fleetCounts() (counts outcomeCounts) {
	for _, endpoint := range c.p.endpoints.all {
		for source := range endpoint.evidence {
			evidence := &endpoint.evidence[source]
			if evidence.Idle(c.p.now) {
				continue
			}
			for class := range c.p.classes {
				first := class * evidenceColumns
				counts.measured += evidence.Sum(c.p.now, first+columnMeasured, 0, slownessBuckets)
				counts.overall.sum += evidence.Sum(c.p.now, first+columnOverallSum, 0, slownessBuckets)
				counts.overall.squares += evidence.Sum(c.p.now, first+columnOverallSquares, 0, slownessBuckets)
			}
		}
	}
	return counts
}

// oldestAge is the age of the newest build's oldest machine.
func (c *canary) oldestAge() (age relay.Seconds) {
	for _, endpoint := range c.p.endpoints.all {
		if endpoint.onNewestBuild() && endpoint.State == relay.Ready {
			age = math.Max(age, c.p.now-endpoint.startTime)
		}
	}
	return age
}
