package scale

import (
	"math"
	"math/rand"

	"lichenroad/relay"
)

// syntheticRelay is a relay that is not hosted: it makes no decision and no attempt, but tells the fusers of made-up ones, as
// many as a relay with its load would make, in the real wire form.
type syntheticRelay struct {
	*identity
	simulation   *simulation
	random       *rand.Rand
	nextReportAt float64
	evidence     [][2]evidence // by category; of the newest build and of the others
	sendQueue    sendQueue
	report       report
}

// evidence counts attempts, the older ones for less and less.
type evidence struct{ attempts, failed float64 }

const (
	reportInterval     = 1.0   // s between a relay's messages to the fusers
	evidenceDecay      = 0.917 // of the counts a second later: a mean age of 12 s
	minEvidence        = 20.0
	flagDifference     = 0.05
	flagStandardErrors = 3.0
	canaryUtilization  = 0.8 // of the cap that is used
)

func newSyntheticRelay(sim *simulation, id *identity) *syntheticRelay {
	s := &syntheticRelay{identity: id, simulation: sim, random: newRandom(sim.options.Seed, "standin", id.index),
		evidence: make([][2]evidence, len(requestKinds))}
	s.nextReportAt = reportInterval * s.random.Float64()
	return s
}

// advance plays one tick.
func (s *syntheticRelay) advance(from, to float64) {
	if !s.alive || s.nextReportAt >= to {
		return
	}
	s.nextReportAt += reportInterval
	p := s.service.platform
	s.report.build, s.report.stage = p.status.Build, p.status.Stage
	s.report.attempts = s.report.attempts[:0]
	s.decayEvidence()
	newer, earlier := s.simulation.readyEndpoints[s.service.index].newer, s.simulation.readyEndpoints[s.service.index].earlier
	for range s.drawAttemptCount() {
		pool, newest := s.drawPool(newer, earlier)
		if len(pool) > 0 {
			s.addAttempt(from, pool[s.random.Intn(len(pool))], newest)
		}
	}
	s.fillVerdicts()
	s.sendReport()
}

// attempts draws how many a relay makes in the time between two messages: a Poisson number, by its normal
// approximation where it is large.
func (s *syntheticRelay) drawAttemptCount() int {
	mean := s.service.size.rate * reportInterval
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
	}
	n, left := 0, s.random.ExpFloat64()
	for ; left < mean; left += s.random.ExpFloat64() {
		n++
	}
	return n
}

// choose picks the units of the newest build or the others.
func (s *syntheticRelay) drawPool(newer, earlier []*endpoint) (pool []*endpoint, newest bool) {
	p := s.service.platform
	if p.status.Phase != relay.PhaseCanary {
		if len(newer) > 0 && p.status.Phase == relay.PhaseReleased {
			return newer, true
		}
		return earlier, false
	}
	part := math.Min(canaryUtilization*p.status.ExposureLimit, float64(len(newer))/math.Max(float64(len(newer)+len(earlier)), 1))
	if s.random.Float64() < part {
		return newer, true
	}
	return earlier, false
}

// attempt makes one up.
func (s *syntheticRelay) addAttempt(now float64, e *endpoint, newest bool) {
	class := drawClass(s.random)
	kind := &requestKinds[class]
	work := kind.work[0] + (kind.work[1]-kind.work[0])*s.random.Float64()
	outcome, took := e.drawOutcome(now, s.place, work, s.service.platform.defect(e.build), s.random)
	a := attemptReport{endpointMark: endpointMark(e.id), class: class, outcome: outcome, newestBuild: newest, slowStarting: now-e.startedAt < slowStartTime,
		overObjective: took > kind.latencyObjective}
	if outcome == relay.Succeeded {
		a.latencyRatio = encodeLatencyRatio(took / (work * (1 + workHintError*(2*s.random.Float64()-1))))
	}
	s.report.attempts = append(s.report.attempts, a)
	counts := &s.evidence[class][0]
	if !newest {
		counts = &s.evidence[class][1]
	}
	counts.attempts++
	if outcome != relay.Succeeded {
		counts.failed++
	}
}

func (s *syntheticRelay) decayEvidence() {
	for i := range s.evidence {
		for k := range s.evidence[i] {
			s.evidence[i][k].attempts *= evidenceDecay
			s.evidence[i][k].failed *= evidenceDecay
		}
	}
}

// verdicts are what a relay with this evidence would say.
func (s *syntheticRelay) fillVerdicts() {
	s.report.verdicts = s.report.verdicts[:0]
	for _, e := range s.evidence {
		v := verdictReport{}
		if newer, earlier := e[0], e[1]; newer.attempts >= minEvidence && earlier.attempts >= minEvidence {
			v = verdictReport{newer.isWorseThan(earlier), uint64(newer.attempts)}
		}
		s.report.verdicts = append(s.report.verdicts, v)
	}
}

func (e evidence) isWorseThan(than evidence) bool {
	mine, theirs := e.failed/e.attempts, than.failed/than.attempts
	err := math.Sqrt(mine*(1-mine)/e.attempts + theirs*(1-theirs)/than.attempts)
	return mine-theirs >= flagDifference && mine-theirs > flagStandardErrors*err
}

// tell sends the report to each fuser, in as many messages as the real code needs.
func (s *syntheticRelay) sendReport() {
	all := s.report.attempts
	for left := all; ; {
		n := min(len(left), maxAttemptsPerReport)
		s.report.attempts = left[:n]
		body := s.report.encode()
		for _, aggregator := range s.simulation.aggregatorsOf(s.service, s.region) {
			if aggregator != s.identity {
				s.sendQueue.datagrams = append(s.sendQueue.datagrams, outgoingDatagram{policyClass, aggregator.number, body})
			}
		}
		if left = left[n:]; len(left) == 0 {
			break
		}
	}
	s.report.attempts = all
}
