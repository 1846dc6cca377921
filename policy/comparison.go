package policy

import (
	"math"
	"slices"
	"sort"

	"lichenroad/relay"
)

// minOutcomes, flagStandardErrors, flagMinFailures and flagMinDifference are set by the design
// (docs/design.md).
const (
	// number of newest buckets that are also tested alone: a build that turns bad late has many good outcomes
	// in the whole window
	recentEvidenceBuckets = 6
	// number of newest buckets that count as recent when a build is compared with its own earlier outcomes
	earlierShareBuckets = 12
	// outcomes needed from each build for a flag, and pooled ones for a promotion
	minOutcomes = 20.0
	// standard errors by which a share must be worse
	flagStandardErrors = 3.0
	// a share must be worse by more than this number of failures
	flagMinFailures = 1.0
	// difference of two shares that a flag needs
	flagMinDifference = 0.05
	// flagMinFailures for pooled counts; larger, since they are tested far more often
	pooledMinFailures = 4.0
	// flagMinDifference for pooled failures; smaller, since many outcomes show a mild fault too
	pooledMinDifference = 0.02
	// multiple of the earlier machines' attempt duration that a flag needs: smaller differences come from
	// load
	slowFactor = 1.6
	// matched attempts needed to test for slowness, and twice as many at the earlier machines, of which the
	// last ones to drain are nearly idle
	minSlowSamples = 60.0
	// fraction of faulty endpoints of a build above which the build counts as the cause of the faults
	maxFaultyFraction = 0.5
	// the fraction must also exceed the earlier build's by this factor, which chance does not explain
	faultyFactor = 2.0
	// seconds between the start times of machines that count as the oldest: those of one stage
	oldestSpread = 2.0
	// one endpoint in so many, the slowest ones, is excluded from slowness
	slowestDivisor = 4
)

// comparison holds the outcomes of the newest build and those of the earlier one.
type comparison struct {
	newest  outcomeCounts
	earlier outcomeCounts
}

// compareBuilds compares the builds in one class, or in all classes if class is their number. The newest
// build's outcomes come from the newest buckets; with a minimum age, only from its oldest machines, and
// only from the time since they reached that age.
func (c *canary) compareBuilds(
	source evidenceSource, class, buckets int, minAge relay.Seconds,
) (compared comparison) {
	pooled := source == peerEvidence
	earlier := c.gatherEvidence(evidenceQuery{
		pooled:    pooled,
		class:     class,
		toAge:     evidenceBuckets,
		maxFaulty: maxFaultyFraction,
	})
	newestQuery := evidenceQuery{
		pooled: pooled,
		class:  class,
		newest: true,
		toAge:  buckets,
		// A lost zone affects machines of both builds. Faults that many earlier machines show too are not
		// caused by the newest build.
		maxFaulty: math.Max(maxFaultyFraction, faultyFactor*earlier.faultyFraction),
		minAge:    minAge,
	}
	compared = comparison{newest: c.gatherEvidence(newestQuery).counts, earlier: earlier.counts}
	last := &c.lastEarlierCounts[source][class]
	if compared.earlier.attempts >= minOutcomes {
		*last = compared.earlier
		return compared
	}
	// Otherwise compare with the last sufficient outcomes of the earlier build or, without any, with this
	// build's own earlier outcomes. Lateness would then only show changes of load, so it is left out.
	compared.earlier = *last
	if compared.earlier.attempts == 0 {
		recent := newestQuery
		recent.toAge = min(buckets, earlierShareBuckets)
		before := newestQuery
		before.fromAge, before.toAge, before.minAge = earlierShareBuckets, evidenceBuckets, 0
		compared.newest = c.gatherEvidence(recent).counts
		compared.earlier = c.gatherEvidence(before).counts
	}
	compared.newest.late = 0
	compared.newest.matched = 0
	return compared
}

// evidenceQuery selects evidence.
type evidenceQuery struct {
	pooled    bool          // including what other relays reported
	class     int           // the number of classes selects all of them
	newest    bool          // endpoints of the newest build; otherwise those of earlier builds
	fromAge   int           // age in buckets of the newest selected bucket
	toAge     int           // age in buckets up to which buckets are selected, exclusive
	maxFaulty float64       // fraction of faulty endpoints above which their evidence is included
	minAge    relay.Seconds // minimum age of the machines; 0: any age
}

// buildEvidence is the evidence on one build.
type buildEvidence struct {
	counts         outcomeCounts
	faultyFraction float64 // faulty endpoints among those with evidence
}

// gatherEvidence sums the evidence of the endpoints of the newest build, or of the earlier ones. Faults
// of only some machines are not attributed to the build: recently faulty endpoints are excluded unless
// they are more than maxFaulty of all, the slowest quarter is excluded from slowness, and a single
// endpoint of the newest build counts with its attempts only.
func (c *canary) gatherEvidence(query evidenceQuery) (gathered buildEvidence) {
	healthy, faulty := c.endpointEvidence(query)
	gathered.faultyFraction = float64(len(faulty)) / math.Max(float64(len(faulty)+len(healthy)), 1)
	if gathered.faultyFraction > query.maxFaulty {
		healthy = append(healthy, faulty...)
	}
	for i := range healthy {
		gathered.counts.add(&healthy[i])
	}
	if len(healthy) == 1 && query.newest {
		gathered.counts = outcomeCounts{attempts: gathered.counts.attempts}
		return gathered
	}
	gathered.counts.excludeSlowest(healthy)
	return gathered
}

// endpointEvidence returns the evidence of each endpoint that has any, with faulty endpoints apart.
func (c *canary) endpointEvidence(query evidenceQuery) (healthy, faulty []outcomeCounts) {
	oldest := 0.0
	if query.minAge > 0 {
		oldest = c.oldestAge()
	}
	for _, endpoint := range c.p.endpoints.all {
		if endpoint.onNewestBuild() != query.newest {
			continue
		}
		toAge := query.toAge
		if query.minAge > 0 {
			age := c.p.now - endpoint.startTime
			toAge = min(toAge, int((age-query.minAge)/evidenceBucketTime))
			if toAge <= 0 || age < oldest-oldestSpread {
				continue
			}
		}
		counts := endpoint.evidenceCounts(query.pooled, query.class, query.fromAge, toAge)
		switch {
		case counts.attempts == 0:
		case endpoint.recentlyFaulty():
			faulty = append(faulty, counts)
		default:
			healthy = append(healthy, counts)
		}
	}
	return healthy, faulty
}

// recentlyFaulty reports whether the endpoint was marked faulty within the evidence window.
func (e *trackedEndpoint) recentlyFaulty() bool {
	return e.faultyAt > 0 && e.p.now-e.faultyAt < evidenceBucketTime*evidenceBuckets
}

// excludeSlowest takes the slowest quarter of the endpoints out of the sum of relative slowness, and
// scales the rest to the full number of matched attempts. It reorders the slice.
func (c *outcomeCounts) excludeSlowest(endpoints []outcomeCounts) {
	matched := slices.DeleteFunc(endpoints, func(counts outcomeCounts) bool { return counts.matched == 0 })
	sort.SliceStable(matched, func(i, j int) bool {
		return matched[i].relative.sum*matched[j].matched > matched[j].relative.sum*matched[i].matched
	})
	rest := c.matched
	for _, counts := range matched[:(len(matched)+slowestDivisor-1)/slowestDivisor] {
		c.relative.sum -= counts.relative.sum
		rest -= counts.matched
	}
	c.relative.sum *= c.matched / math.Max(rest, 1)
}

// flagged tests one relay's outcomes: whether the newest build fails more, is late more often, or is
// slower.
func (c *comparison) flagged() bool {
	failures := c.shares(failedShare)
	lateness := c.shares(lateShare)
	return failures.worse(flagMinDifference, flagMinFailures, failures.standardError()) ||
		lateness.worse(flagMinDifference, flagMinFailures, lateness.standardError()) ||
		c.flaggedAsSlow()
}

// pooledFlagged tests the outcomes of all relays. Compared with flagged, failures need a smaller
// difference but more outcomes, and the standard error is that of equal shares, so that some failures
// against hardly any count. Lateness is not tested: slowness is compared with the earlier machines at the
// same times, so that a period of high load is not attributed to the build.
func (c *comparison) pooledFlagged() bool {
	return c.failsMore() || c.flaggedAsSlow()
}

// failsMore reports whether the newest build fails more often, by the outcomes of all relays.
func (c *comparison) failsMore() bool {
	failures := c.shares(failedShare)
	return failures.worse(pooledMinDifference, pooledMinFailures, failures.pooledStandardError())
}

// reversed exchanges the two builds.
func (c *comparison) reversed() comparison { return comparison{newest: c.earlier, earlier: c.newest} }

func (c *comparison) flaggedAsSlow() bool {
	enough := c.newest.matched >= minSlowSamples && c.earlier.measured >= 2*minSlowSamples
	return enough && c.newest.relativeSlowness().exceeds(slowFactor)
}

// share is the number of bad outcomes among all attempts.
type share struct {
	bad      float64
	attempts float64
}

func (s share) fraction() float64 { return s.bad / s.attempts }

func failedShare(counts *outcomeCounts) share { return share{counts.failed, counts.attempts} }
func lateShare(counts *outcomeCounts) share   { return share{counts.late, counts.attempts} }

// sharePair holds the same share of the newest build and of the earlier one.
type sharePair struct {
	newest  share
	earlier share
}

func (c *comparison) shares(shareOf func(*outcomeCounts) share) sharePair {
	return sharePair{newest: shareOf(&c.newest), earlier: shareOf(&c.earlier)}
}

// worse reports whether the newest build's share is worse by a minimum difference, by a minimum number of
// bad outcomes, and by flagStandardErrors standard errors.
func (s sharePair) worse(minDifference, minBad, standardError float64) bool {
	if s.newest.attempts < minOutcomes || s.earlier.attempts < minOutcomes {
		return false
	}
	earlier := s.earlier.fraction()
	difference := s.newest.fraction() - earlier
	return difference >= minDifference && difference > flagStandardErrors*standardError &&
		s.newest.bad-earlier*s.newest.attempts > minBad
}

// standardError is the standard error of the difference of two shares that differ.
func (s sharePair) standardError() float64 {
	newest, earlier := s.newest.fraction(), s.earlier.fraction()
	return math.Sqrt(newest*(1-newest)/s.newest.attempts + earlier*(1-earlier)/s.earlier.attempts)
}

// pooledStandardError is the standard error of the difference under the hypothesis that both shares are
// equal.
func (s sharePair) pooledStandardError() float64 {
	fraction := (s.newest.bad + s.earlier.bad) / (s.newest.attempts + s.earlier.attempts)
	return math.Sqrt(fraction * (1 - fraction) * (1/s.newest.attempts + 1/s.earlier.attempts))
}
