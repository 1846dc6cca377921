package scale

import (
	"math"
	"math/rand"

	"lichenroad/relay"
)

// standIn is a relay that is not hosted: it makes no decision and no attempt, but tells the fusers of made-up ones, as
// many as a relay with its load would make, in the real wire form.
type standIn struct {
	*identity
	world    *world
	random   *rand.Rand
	nextAt   float64
	evidence [][2]evidence // by category; of the newest build and of the others
	out      outbox
	buffer   report
}

// evidence counts attempts, the older ones for less and less.
type evidence struct{ attempts, failed float64 }

const (
	tellEvery      = 1.0   // s between a relay's messages to the fusers
	evidenceKept   = 0.917 // of the counts a second later: a mean age of 12 s
	leastEvidence  = 20.0
	flagDifference = 0.05
	flagErrors     = 3.0
	trialPart      = 0.8 // of the cap that is used
)

func newStandIn(w *world, id *identity) *standIn {
	s := &standIn{identity: id, world: w, random: seeded(w.options.Seed, "standin", id.index),
		evidence: make([][2]evidence, len(requestKinds))}
	s.nextAt = tellEvery * s.random.Float64()
	return s
}

// advance plays one tick.
func (s *standIn) advance(from, to float64) {
	if !s.alive || s.nextAt >= to {
		return
	}
	s.nextAt += tellEvery
	p := s.service.platform
	s.buffer.build, s.buffer.stage = p.news.Build, p.news.Stage
	s.buffer.attempts = s.buffer.attempts[:0]
	s.age()
	newer, earlier := s.world.ready[s.service.index].newer, s.world.ready[s.service.index].earlier
	for range s.attempts() {
		pool, newest := s.choose(newer, earlier)
		if len(pool) > 0 {
			s.attempt(from, pool[s.random.Intn(len(pool))], newest)
		}
	}
	s.verdicts()
	s.tell()
}

// attempts draws how many a relay makes in the time between two messages: a Poisson number, by its normal
// approximation where it is large.
func (s *standIn) attempts() int {
	mean := s.service.size.rate * tellEvery
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
func (s *standIn) choose(newer, earlier []*unit) (pool []*unit, newest bool) {
	p := s.service.platform
	if p.news.Phase != relay.PhaseCanary {
		if len(newer) > 0 && p.news.Phase == relay.PhaseReleased {
			return newer, true
		}
		return earlier, false
	}
	part := math.Min(trialPart*p.news.ExposureLimit, float64(len(newer))/math.Max(float64(len(newer)+len(earlier)), 1))
	if s.random.Float64() < part {
		return newer, true
	}
	return earlier, false
}

// attempt makes one up.
func (s *standIn) attempt(now float64, u *unit, newest bool) {
	category := drawCategory(s.random)
	kind := &requestKinds[category]
	work := kind.work[0] + (kind.work[1]-kind.work[0])*s.random.Float64()
	how, took := u.answer(now, s.place, work, s.service.platform.defect(u.build), s.random)
	a := attemptReport{unit: unitMark(u.id), category: category, how: how, newest: newest, young: now-u.started < warmUp,
		late: took > kind.due}
	if how == relay.Succeeded {
		a.pace = paceByte(took / (work * (1 + workHint*(2*s.random.Float64()-1))))
	}
	s.buffer.attempts = append(s.buffer.attempts, a)
	e := &s.evidence[category][0]
	if !newest {
		e = &s.evidence[category][1]
	}
	e.attempts++
	if how != relay.Succeeded {
		e.failed++
	}
}

func (s *standIn) age() {
	for i := range s.evidence {
		for k := range s.evidence[i] {
			s.evidence[i][k].attempts *= evidenceKept
			s.evidence[i][k].failed *= evidenceKept
		}
	}
}

// verdicts are what a relay with this evidence would say.
func (s *standIn) verdicts() {
	s.buffer.verdicts = s.buffer.verdicts[:0]
	for _, e := range s.evidence {
		v := verdictReport{}
		if newer, earlier := e[0], e[1]; newer.attempts >= leastEvidence && earlier.attempts >= leastEvidence {
			v = verdictReport{newer.worse(earlier), uint64(newer.attempts)}
		}
		s.buffer.verdicts = append(s.buffer.verdicts, v)
	}
}

func (e evidence) worse(than evidence) bool {
	mine, theirs := e.failed/e.attempts, than.failed/than.attempts
	err := math.Sqrt(mine*(1-mine)/e.attempts + theirs*(1-theirs)/than.attempts)
	return mine-theirs >= flagDifference && mine-theirs > flagErrors*err
}

// tell sends the report to each fuser, in as many messages as the real code needs.
func (s *standIn) tell() {
	all := s.buffer.attempts
	for left := all; ; {
		n := min(len(left), attemptsPerMsg)
		s.buffer.attempts = left[:n]
		body := s.buffer.encode()
		for _, fuser := range s.world.fusers(s.service, s.region) {
			if fuser != s.identity {
				s.out.tells = append(s.out.tells, tell{verdictClass, fuser.number, body})
			}
		}
		if left = left[n:]; len(left) == 0 {
			break
		}
	}
	s.buffer.attempts = all
}
