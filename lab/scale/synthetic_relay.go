package scale

import (
	"math"
	"math/rand"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// syntheticRelay is a relay that is not hosted. It makes no decisions and sends no attempts. It only sends reports to the
// aggregators, in the real encoding. They are about random attempts, as many as a hosted relay with its load would make.
type syntheticRelay struct {
	*fleetRelay
	simulation   *simulation // read only
	random       *rand.Rand
	nextReportAt float64
	evidence     []classEvidence // indexed by request class
	sendQueue    sendQueue
	report       peerwire.Report // reused for every report
}

// evidence counts attempts with weights that decrease exponentially with age.
type evidence struct{ attempts, failed float64 }

// classEvidence is the evidence on one request class: on the newest build and on the earlier builds.
type classEvidence struct{ newest, earlier evidence }

const (
	reportInterval    = 1.0   // seconds between a relay's reports
	evidenceDecay     = 0.917 // factor per second on the counts, for a mean age of 12 s
	minEvidence       = 20.0  // minimum attempts in the evidence on both sides for a verdict
	minRateDifference = 0.05  // minimum difference of the failure rates for a flag
	minStandardErrors = 3.0   // minimum difference for a flag, in standard errors of the difference
	canaryUtilization = 0.8   // fraction of the exposure limit that is used on average
)

func newSyntheticRelay(sim *simulation, r *fleetRelay) *syntheticRelay {
	s := &syntheticRelay{
		fleetRelay: r,
		simulation: sim,
		random:     newRandom(sim.options.Seed, "standin", r.index),
		evidence:   make([]classEvidence, len(requestKinds)),
	}
	s.nextReportAt = reportInterval * s.random.Float64()
	return s
}

// advance sends a report if one is due before the end of the tick.
func (s *syntheticRelay) advance(from, to float64) {
	if !s.alive || s.nextReportAt >= to {
		return
	}
	s.nextReportAt += reportInterval
	status := &s.service.platform.status
	s.report.Build = status.Build
	s.report.Stage = status.Stage
	s.report.Observations = s.report.Observations[:0]
	s.decayEvidence()
	ready := &s.simulation.readyEndpoints[s.service.index]
	for range s.drawAttemptCount() {
		pool, newest := s.drawPool(ready)
		if len(pool) > 0 {
			s.addAttempt(from, pool[s.random.Intn(len(pool))], newest)
		}
	}
	s.fillVerdicts()
	s.sendReport()
}

// drawAttemptCount returns a random number of attempts between two reports. It has a Poisson distribution, approximated by a
// normal distribution if the mean is large.
func (s *syntheticRelay) drawAttemptCount() int {
	const largeMean = 30
	mean := s.service.size.rate * reportInterval
	if mean > largeMean {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
	}
	count := 0
	for at := s.random.ExpFloat64(); at < mean; at += s.random.ExpFloat64() {
		count++
	}
	return count
}

// drawPool returns the endpoints from which the endpoint of an attempt is drawn, and whether they run the newest build. During
// a trial the choice between the newest and the earlier builds is random.
func (s *syntheticRelay) drawPool(ready *readyEndpoints) (pool []*endpoint, newest bool) {
	status := &s.service.platform.status
	if status.Phase != relay.PhaseCanary {
		if len(ready.newest) > 0 && status.Phase == relay.PhaseReleased {
			return ready.newest, true
		}
		return ready.earlier, false
	}
	newestCount := float64(len(ready.newest))
	count := float64(len(ready.newest) + len(ready.earlier))
	fraction := math.Min(canaryUtilization*status.ExposureLimit, newestCount/math.Max(count, 1))
	if s.random.Float64() < fraction {
		return ready.newest, true
	}
	return ready.earlier, false
}

// addAttempt adds a random attempt at the endpoint to the report and to the evidence.
func (s *syntheticRelay) addAttempt(now float64, e *endpoint, newest bool) {
	class := drawClass(s.random)
	kind := &requestKinds[class]
	work := kind.drawWork(s.random)
	result := e.drawResult(now, s.place, work, s.service.platform.defectOf(e.build), s.random)
	observed := peerwire.Observation{
		Endpoint: peerwire.HashOf(e.id),
		Class:    relay.RequestClass(class),
		Outcome:  result.outcome,
		Newest:   newest,
		Young:    now-e.startedAt < slowStartTime,
		Late:     result.duration > kind.latencyObjective,
	}
	succeeded := result.outcome == relay.Succeeded
	if succeeded {
		observed.Ratio = result.duration / drawWorkHint(s.random, work)
	}
	s.report.Observations = append(s.report.Observations, observed)
	counts := &s.evidence[class].earlier
	if newest {
		counts = &s.evidence[class].newest
	}
	counts.attempts++
	if !succeeded {
		counts.failed++
	}
}

// decayEvidence reduces the weight of the evidence by the decay of one report interval.
func (s *syntheticRelay) decayEvidence() {
	for i := range s.evidence {
		s.evidence[i].newest.decay()
		s.evidence[i].earlier.decay()
	}
}

func (e *evidence) decay() {
	e.attempts *= evidenceDecay
	e.failed *= evidenceDecay
}

// fillVerdicts adds the verdicts that a relay with this evidence would report, one for each request class.
func (s *syntheticRelay) fillVerdicts() {
	s.report.Verdicts = s.report.Verdicts[:0]
	for _, e := range s.evidence {
		verdict := peerwire.ClassVerdict{}
		if e.newest.attempts >= minEvidence && e.earlier.attempts >= minEvidence {
			verdict = peerwire.ClassVerdict{Flagged: e.newest.isWorseThan(e.earlier), Outcomes: e.newest.attempts}
		}
		s.report.Verdicts = append(s.report.Verdicts, verdict)
	}
}

// isWorseThan reports whether the failure rate is higher by at least minRateDifference and the difference is statistically
// significant.
func (e evidence) isWorseThan(other evidence) bool {
	rate, otherRate := e.failed/e.attempts, other.failed/other.attempts
	standardError := math.Sqrt(rate*(1-rate)/e.attempts + otherRate*(1-otherRate)/other.attempts)
	difference := rate - otherRate
	return difference >= minRateDifference && difference > minStandardErrors*standardError
}

// sendReport sends the report to each aggregator. Like the real code, it splits a report that is too long for one message.
func (s *syntheticRelay) sendReport() {
	all := s.report.Observations
	for rest := all; ; {
		size := min(len(rest), peerwire.MaxObservations)
		s.report.Observations = rest[:size]
		s.sendToAggregators(s.report.Encode())
		rest = rest[size:]
		if len(rest) == 0 {
			break
		}
	}
	s.report.Observations = all
}

func (s *syntheticRelay) sendToAggregators(body []byte) {
	for _, aggregator := range s.simulation.aggregatorsOf(s.service, s.region) {
		if aggregator != s.fleetRelay {
			s.sendQueue.datagrams = append(s.sendQueue.datagrams, outgoingDatagram{policyClass, aggregator.number, body})
		}
	}
}
