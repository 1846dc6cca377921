package policy

import (
	"math"
	"slices"
	"sort"

	"lichenroad/relay"
)

const (
	// buckets that are looked at alone too: a build that turns bad has done well for long
	recentEvidenceBuckets = 6
	// buckets taken as recent where a build is compared with its own earlier share
	earlierShareBuckets = 12
	// outcomes a build for a flag, and pooled ones for a promotion (DESIGN)
	minOutcomes = 20.0
	// standard errors that a share must be worse by (DESIGN)
	flagStandardErrors = 3.0
	// failures that a share must be worse by, and more (DESIGN)
	flagMinFailures = 1.0
	// difference of shares that a flag needs (DESIGN)
	flagMinDifference = 0.05
	// the same as flagMinFailures for pooled counts, which are looked at far more often
	pooledMinFailures = 4.0
	// the same as flagMinDifference for pooled failures: many outcomes show a mild fault too
	pooledMinDifference = 0.02
	// times the earlier machines' attempt time that a flag needs: as much differs by load
	slowFactor = 1.6
	// attempts that slowness needs, earlier machines twice that: the last to drain are idle
	minSlowSamples = 60.0
	// of a build's endpoints that fail most attempts, above which that is the build's doing
	maxFaultyFraction = 0.5
	// times the earlier build's fraction that it must be too: twice is no chance of the draw
	faultyFactor = 2.0
	// s between the starts of machines that count as the oldest: one stage's
	oldestSpread = 2.0
	// one endpoint in so many is left out of slowness
	slowestQuarter = 4
)

// comparison holds the outcomes of the newest build against those of the earlier one.
type comparison struct {
	newest  outcomeCounts
	earlier outcomeCounts
}

// compareBuilds compares the builds in one class, or in all where class is their number. The newest build's
// outcomes are of the last buckets; with a minimum age, of its oldest machines from that age on alone.
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
		// A lost zone takes machines of both builds along: what many earlier ones show too is not the build's
		// doing.
		maxFaulty: math.Max(maxFaultyFraction, faultyFactor*earlier.faultyFraction),
		minAge:    minAge,
	}
	compared = comparison{newest: c.gatherEvidence(newestQuery).counts, earlier: earlier.counts}
	last := &c.lastEarlier[source][class]
	if compared.earlier.attempts >= minOutcomes {
		*last = compared.earlier
		return compared
	}
	// Else what they last showed, or this release's own earlier share; lateness then tells of the load alone.
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

// evidenceQuery says which evidence is gathered.
type evidenceQuery struct {
	pooled    bool // with what other relays reported
	class     int  // the number of classes: of all
	newest    bool // of the newest build, or of the earlier ones
	fromAge   int  // buckets that are at least so many buckets old,
	toAge     int  // and less than so many
	maxFaulty float64
	minAge    relay.Seconds // of the machines; 0: of any age
}

// buildEvidence is what the endpoints of a build showed.
type buildEvidence struct {
	counts         outcomeCounts
	faultyFraction float64 // of its endpoints
}

// gatherEvidence sums the evidence of the newest build's endpoints, or of the earlier ones'. What only some
// machines of a build do is not the build's: an endpoint that failed most attempts of late is left out,
// unless more than maxFaulty of them did; the slowest quarter is left out of slowness; a single endpoint
// shows no faults.
func (c *canary) gatherEvidence(query evidenceQuery) (gathered buildEvidence) {
	sound, faulty := c.endpointEvidence(query)
	gathered.faultyFraction = float64(len(faulty)) / math.Max(float64(len(faulty)+len(sound)), 1)
	if gathered.faultyFraction > query.maxFaulty {
		sound = append(sound, faulty...)
	}
	for i := range sound {
		gathered.counts.add(&sound[i])
	}
	if len(sound) == 1 && query.newest {
		gathered.counts = outcomeCounts{attempts: gathered.counts.attempts}
		return gathered
	}
	gathered.counts.leaveOutSlowest(sound)
	return gathered
}

// endpointEvidence is the evidence of each endpoint that has any, the faulty ones apart.
func (c *canary) endpointEvidence(query evidenceQuery) (sound, faulty []outcomeCounts) {
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
		case endpoint.wasFaulty():
			faulty = append(faulty, counts)
		default:
			sound = append(sound, counts)
		}
	}
	return sound, faulty
}

// wasFaulty says that the endpoint failed most attempts within the window of evidence.
func (e *trackedEndpoint) wasFaulty() bool {
	return e.faultyAt > 0 && e.p.now-e.faultyAt < evidenceBucketTime*evidenceBuckets
}

// leaveOutSlowest takes the slowest quarter of the endpoints out of the sum of relative slowness. It
// reorders the slice.
func (c *outcomeCounts) leaveOutSlowest(endpoints []outcomeCounts) {
	matched := slices.DeleteFunc(endpoints, func(counts outcomeCounts) bool { return counts.matched == 0 })
	sort.SliceStable(matched, func(i, j int) bool {
		return matched[i].relative.sum*matched[j].matched > matched[j].relative.sum*matched[i].matched
	})
	rest := c.matched
	for _, counts := range matched[:(len(matched)+slowestQuarter-1)/slowestQuarter] {
		c.relative.sum -= counts.relative.sum
		rest -= counts.matched
	}
	c.relative.sum *= c.matched / math.Max(rest, 1)
}

// flagged is the design's test of the newest build's shares against the earlier one's, on one relay's
// outcomes.
func (c *comparison) flagged() bool {
	failures := c.shares(failedShare)
	lateness := c.shares(lateShare)
	return failures.worse(flagMinDifference, flagMinFailures, failures.standardError()) ||
		lateness.worse(flagMinDifference, flagMinFailures, lateness.standardError()) ||
		c.flaggedAsSlow()
}

// pooledFlagged is the test on all relays' outcomes. Pooled failures need fewer points but more outcomes,
// and the standard error of equal shares: some against hardly any count. Pooled lateness is left to
// slowness, held against the earlier machines at the same moments: a slow hour is no build's fault.
func (c *comparison) pooledFlagged() bool {
	return c.failsMore() || c.flaggedAsSlow()
}

// failsMore says that the newest build fails more, by all relays' outcomes.
func (c *comparison) failsMore() bool {
	failures := c.shares(failedShare)
	return failures.worse(pooledMinDifference, pooledMinFailures, failures.pooledStandardError())
}

// reversed compares the earlier build with the newest one.
func (c *comparison) reversed() comparison { return comparison{newest: c.earlier, earlier: c.newest} }

func (c *comparison) flaggedAsSlow() bool {
	enough := c.newest.matched >= minSlowSamples && c.earlier.measured >= 2*minSlowSamples
	return enough && c.newest.relativeSlowness().exceeds(slowFactor)
}

// share is how many of the outcomes were bad.
type share struct {
	bad      float64
	attempts float64
}

func (s share) fraction() float64 { return s.bad / s.attempts }

func failedShare(counts *outcomeCounts) share { return share{counts.failed, counts.attempts} }
func lateShare(counts *outcomeCounts) share   { return share{counts.late, counts.attempts} }

// sharePair is a share of the newest build against the earlier one's.
type sharePair struct {
	newest  share
	earlier share
}

func (c *comparison) shares(of func(*outcomeCounts) share) sharePair {
	return sharePair{newest: of(&c.newest), earlier: of(&c.earlier)}
}

// worse says that the newest build's share is worse by a difference, by a number of bad outcomes, and by
// some standard errors.
func (s sharePair) worse(minDifference, minBad, standardError float64) bool {
	if s.newest.attempts < minOutcomes || s.earlier.attempts < minOutcomes {
		return false
	}
	earlier := s.earlier.fraction()
	difference := s.newest.fraction() - earlier
	return difference >= minDifference && difference > flagStandardErrors*standardError &&
		s.newest.bad-earlier*s.newest.attempts > minBad
}

// standardError is that of the difference of two unlike shares.
func (s sharePair) standardError() float64 {
	newest, earlier := s.newest.fraction(), s.earlier.fraction()
	return math.Sqrt(newest*(1-newest)/s.newest.attempts + earlier*(1-earlier)/s.earlier.attempts)
}

// pooledStandardError is that of the difference if both shares were equal.
func (s sharePair) pooledStandardError() float64 {
	fraction := (s.newest.bad + s.earlier.bad) / (s.newest.attempts + s.earlier.attempts)
	return math.Sqrt(fraction * (1 - fraction) * (1/s.newest.attempts + 1/s.earlier.attempts))
}
