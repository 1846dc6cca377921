package scale

import (
	"math"
	"math/rand"

	"lichenroad/policy/peerwire"
	"lichenroad/relay"
)

// syntheticRelay is a relay that is not hosted. It decides nothing and sends no attempts, but reports attempts that it draws
// to the aggregators, as many as a relay with its load would, in the real encoding.
type syntheticRelay struct {
	*identity
	simulation   *simulation // read only
	random       *rand.Rand
	nextReportAt float64
	evidence     []classEvidence // by request class
	sendQueue    sendQueue
	report       peerwire.Report // buffer
}

// evidence counts attempts, earlier ones with exponentially decreasing weight.
type evidence struct{ attempts, failed float64 }

// classEvidence is the evidence on one request class.
type classEvidence struct{ newest, earlier evidence } // of the newest build and of the others

const (
	reportInterval     = 1.0   // seconds between a relay's reports
	evidenceDecay      = 0.917 // of the counts after a second: a mean age of 12 s
	minEvidence        = 20.0  // attempts of either build for a verdict
	flagDifference     = 0.05  // of the failure rates
	flagStandardErrors = 3.0   // of their difference
	canaryUtilization  = 0.8   // fraction of the exposure limit that is used
)

func newSyntheticRelay(sim *simulation, id *identity) *syntheticRelay {
	s := &syntheticRelay{
		identity:   id,
		simulation: sim,
		random:     newRandom(sim.options.Seed, "standin", id.index),
		evidence:   make([]classEvidence, len(requestKinds)),
	}
	s.nextReportAt = reportInterval * s.random.Float64()
	return s
}

// advance simulates one tick.
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

// drawAttemptCount draws how many attempts a relay makes between two reports: a Poisson number, by its normal approximation
// if the mean is large.
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

// drawPool draws whether an attempt goes to the newest build, and returns the endpoints to choose from.
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

// addAttempt draws an attempt and adds it to the report and the evidence.
func (s *syntheticRelay) addAttempt(now float64, e *endpoint, newest bool) {
	class := drawClass(s.random)
	kind := &requestKinds[class]
	work := kind.drawWork(s.random)
	result := e.drawResult(now, s.place, work, s.service.platform.defect(e.build), s.random)
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

// decayEvidence ages the evidence by a report's interval.
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

// fillVerdicts fills in the verdicts that a relay with this evidence would report.
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

// isWorseThan reports whether the failure rate is higher by a difference that matters and is significant.
func (e evidence) isWorseThan(other evidence) bool {
	rate, otherRate := e.failed/e.attempts, other.failed/other.attempts
	standardError := math.Sqrt(rate*(1-rate)/e.attempts + otherRate*(1-otherRate)/other.attempts)
	difference := rate - otherRate
	return difference >= flagDifference && difference > flagStandardErrors*standardError
}

// sendReport sends the report to each aggregator, in as many messages as the real code needs.
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
		if aggregator != s.identity {
			s.sendQueue.datagrams = append(s.sendQueue.datagrams, outgoingDatagram{policyClass, aggregator.number, body})
		}
	}
}
