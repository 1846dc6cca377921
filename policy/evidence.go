package policy

import (
	"fmt"
	"math"

	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	// seconds per bucket of outcomes
	evidenceBucketTime = 0.5
	// a window of 12 s: twice the time that a verdict counts, and long enough for 20 outcomes of a rare
	// class
	evidenceBuckets = 24
	// a window of 4 s for slowness: the load changes faster than the builds do
	slownessBuckets = 8
	// seconds after the last attempt at a machine of the earlier build for which the ratios of these machines
	// show the present load
	earlierRatioLifetime = 0.5
)

// outcomeCounts counts the outcomes of one build in one class. The sums of logarithms cover only the
// newest slownessBuckets.
type outcomeCounts struct {
	attempts float64
	failed   float64
	late     float64

	measured float64     // attempts with a known baseline ratio
	overall  logRatioSum // latency ratio over the baseline ratio, for the measured attempts

	// measured attempts at the newest build while machines of the earlier build showed the present load
	matched float64
	// latency ratio over that of the earlier machines at the same time, for the matched attempts
	relative logRatioSum
}

// logRatioSum is a sum of logarithms of a latency ratio, and the sum of their squares.
type logRatioSum struct {
	sum     float64
	squares float64
}

// Columns of an endpoint's evidence, for each class.
const (
	columnAttempts = iota
	columnFailed
	columnLate
	columnMeasured // this column and the following ones count only within slownessBuckets
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

// addColumns adds the columns of one class and one bucket.
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

// String formats the counts for the log.
func (c outcomeCounts) String() string {
	return fmt.Sprintf("%.0f attempts (%.0f failed, %.0f late, %.0f measured, %.0f matched)",
		c.attempts, c.failed, c.late, c.measured, c.matched)
}

// estimate is the mean logarithm of a latency ratio, with its standard error.
type estimate struct {
	mean     float64
	stdError float64
}

func newEstimate(samples float64, ratios logRatioSum) estimate {
	n := math.Max(samples, 1)
	mean := ratios.sum / n
	return estimate{mean: mean, stdError: math.Sqrt(math.Max(ratios.squares/n-mean*mean, 0) / n)}
}

// overallSlowness compares the measured attempts with the baseline ratios.
func (c *outcomeCounts) overallSlowness() estimate { return newEstimate(c.measured, c.overall) }

// relativeSlowness compares the matched attempts with the earlier build's machines at the same times.
func (c *outcomeCounts) relativeSlowness() estimate { return newEstimate(c.matched, c.relative) }

// exceeds reports whether attempts took more than times as long, beyond what chance explains.
func (e estimate) exceeds(times float64) bool {
	return e.mean > math.Log(times) && e.mean > flagStandardErrors*e.stdError
}

// recordEvidence adds an attempt to the endpoint's evidence. The baseline is the ratio for its machine
// type and queue depth; 0: not known.
func (e *trackedEndpoint) recordEvidence(
	observed peerwire.Observation, source evidenceSource, baseline float64,
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
	if observed.Young || baseline <= 0 || observed.Ratio <= 0 {
		return
	}
	e.recordSlowness(evidence, first, observed.Newest, math.Log(observed.Ratio/baseline))
}

// recordSlowness adds the logarithm of an attempt's ratio over the baseline.
func (e *trackedEndpoint) recordSlowness(evidence *window.Sliding, first int, newest bool, logRatio float64) {
	now, latency := e.p.now, &e.p.latency
	evidence.Add(now, first+columnMeasured, 1)
	evidence.Add(now, first+columnOverallSum, logRatio)
	evidence.Add(now, first+columnOverallSquares, logRatio*logRatio)
	if !newest {
		latency.earlier.Add(logRatio, fleetRatioSmoothing)
		latency.earlierAt = now
		return
	}
	if latency.earlier.Samples >= minRatioSamples && now-latency.earlierAt < earlierRatioLifetime {
		relative := logRatio - latency.earlier.Value
		evidence.Add(now, first+columnMatched, 1)
		evidence.Add(now, first+columnRelativeSum, relative)
		evidence.Add(now, first+columnRelativeSquares, relative*relative)
	}
}

// evidenceCounts sums the endpoint's evidence in one class, or in all classes if class is their number,
// over the buckets that are at least from and less than to buckets old. It counts this relay's attempts,
// and if pooled those that other relays reported.
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
					// most relays send most endpoints nothing within a bucket; without attempts all columns are 0
					continue
				}
				counts.addColumns(columns, age < from+slownessBuckets)
			}
		}
	}
	return counts
}

// fleetCounts sums the slowness of all endpoints, of any build and seen by any relay.
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

// oldestAge is the age of the oldest ready machine of the newest build.
func (c *canary) oldestAge() (age relay.Seconds) {
	for _, endpoint := range c.p.endpoints.all {
		if endpoint.onNewestBuild() && endpoint.State == relay.Ready {
			age = math.Max(age, c.p.now-endpoint.startTime)
		}
	}
	return age
}
