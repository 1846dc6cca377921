package lab

import (
	"cmp"
	"encoding/hex"
	"math"
	"slices"

	"lichenroad/relay"
	"lichenroad/rollout"
)

// Release summarizes the rollout of one build.
type Release struct {
	Service      string      `json:"service"`
	Build        relay.Build `json:"build"`
	BuildFault   string      `json:"fault"`
	Bad          bool        `json:"bad"`
	OfferedAt    float64     `json:"offered"` // s since the start, like the other times; -1: never
	BeganAt      float64     `json:"began"`
	ReleasedAt   float64     `json:"released"`
	RolledBackAt float64     `json:"back"`
	Promotions   int         `json:"steps"` // number of promotions, the release included
}

// Result holds the figures of a run.
type Result struct {
	Seed                  int64              `json:"seed"`
	Days                  float64            `json:"days"`
	Relays                int                `json:"relays"`
	Endpoints             int                `json:"units"`
	Releases              []Release          `json:"releases"`
	Events                int                `json:"steps"`
	Attempts              int                `json:"legs"`
	CanaryAttempts        int                `json:"legs_on_trial"`
	Requests              int                `json:"queries"`
	Succeeded             int                `json:"honoured"`
	Rejected              int                `json:"denied"`
	Failed                int                `json:"written_off"`
	ServedFraction        float64            `json:"service"` // priority weight answered in time, as a fraction
	WeightLostToBadBuilds float64            `json:"bad_builds_worth_lost"`
	Violations            []Violation        `json:"broken"`
	UnlistedViolations    int                `json:"broken_not_listed"`
	ViolationsByRule      map[string]int     `json:"broken_by_rule"`
	MaxAllowanceUsed      float64            `json:"most_of_cap"`
	BlockedFor            map[string]float64 `json:"held"`
	TrafficTime           float64            `json:"played_s"` // s with traffic
	TimelineHash          string             `json:"timeline_sha256"`
	GoodReleased          float64            `json:"good_released"` // fraction of the good builds that stayed released
	GoodReleaseTime       float64            `json:"good_took_s"`   // s; mean over those, from offer to release
	BadReleased           float64            `json:"bad_released"`  // fraction of the bad builds that stayed released

	Steps        []ControllerStep `json:"-"`
	AllowanceUse []AllowanceUse   `json:"-"`
	Timeline     []string         `json:"-"`
	FreezeTimes  [][]float64      `json:"-"` // by freeze: start and end of each interval
	FreezeNames  []string         `json:"-"`
}

// AllowanceUse is the highest used fraction of an allowance within a period of ten minutes, for the report.
type AllowanceUse struct {
	Hour    float64 // start of the period, in hours since the start of the run
	Service string
	Max     float64
}

// neverHappened stands for the time of an event that did not happen.
const neverHappened = -1

// unblockedName is the key in Result.BlockedFor of the time in which nothing blocked a release.
const unblockedName = "free"

// result returns the figures of the run up to now.
func (s *simulation) result() Result {
	c, counters := s.checker, &s.counters
	result := Result{
		Seed:                  s.options.Seed,
		Days:                  s.now / secondsPerDay,
		Relays:                len(s.relays),
		Endpoints:             s.options.Endpoints,
		Events:                int(counters.controllerEvents),
		Attempts:              counters.attempts,
		CanaryAttempts:        counters.canaryAttempts,
		Requests:              counters.requests,
		Succeeded:             counters.succeeded,
		Rejected:              counters.rejected,
		Failed:                counters.failed,
		ServedFraction:        counters.weightServed / math.Max(counters.weightOffered, 1e-9),
		WeightLostToBadBuilds: counters.weightLostToBadBuilds,
		Violations:            c.violations,
		UnlistedViolations:    c.unlisted,
		ViolationsByRule:      c.byRule,
		MaxAllowanceUsed:      c.maxAllowanceUsed,
		BlockedFor:            s.controller.blockedTimes(),
		TrafficTime:           counters.trafficTime,
		TimelineHash:          hex.EncodeToString(s.timelineHash.Sum(nil)),
		Steps:                 c.steps,
		AllowanceUse:          c.usedAllowances(),
		Timeline:              s.timeline,
	}
	if result.Violations == nil {
		result.Violations = []Violation{} // an empty list in JSON
	}
	result.addReleases(s)
	for i := range s.plan.Freezes {
		result.FreezeNames = append(result.FreezeNames, s.plan.Freezes[i].Name)
		var times []float64
		for _, frozen := range c.freezeTimes[i] {
			times = append(times, frozen.from, frozen.to)
		}
		result.FreezeTimes = append(result.FreezeTimes, times)
	}
	return result
}

// blockedTimes returns for how long each reason blocked releases, in whole seconds over all services.
func (l *controllerLink) blockedTimes() map[string]float64 {
	now := l.simulation.unixNow()
	for i := range l.blockedSince {
		l.blockedFor[l.blockedBy[i]] += now - l.blockedSince[i]
	}
	times := map[string]float64{}
	for code, duration := range l.blockedFor {
		name := string(code)
		if code == rollout.Unblocked {
			name = unblockedName
		}
		times[name] = math.Round(duration)
	}
	return times
}

// usedAllowances lists the highest use of allowances, ordered by time and service.
func (c *checker) usedAllowances() (uses []AllowanceUse) {
	const periodsPerHour = hour / allowancePeriod
	for key, highest := range c.allowanceUse {
		service := c.simulation.plan.Services[key.service].Name
		uses = append(uses, AllowanceUse{float64(key.period) / periodsPerHour, service, highest})
	}
	slices.SortFunc(uses, func(a, b AllowanceUse) int {
		return cmp.Or(cmp.Compare(a.Hour, b.Hour), cmp.Compare(a.Service, b.Service))
	})
	return uses
}

// releaseKey identifies a build of a service.
type releaseKey struct {
	service string
	build   relay.Build
}

// addReleases builds the history of each build from the controller's steps, in order of first appearance.
func (r *Result) addReleases(s *simulation) {
	releases := map[releaseKey]*Release{}
	var order []releaseKey
	for _, step := range r.Steps {
		key := releaseKey{step.Service, step.Build}
		release := releases[key]
		if release == nil {
			release = s.newRelease(key)
			releases[key] = release
			order = append(order, key)
		}
		release.apply(step)
	}
	for _, key := range order {
		r.Releases = append(r.Releases, *releases[key])
	}
	r.summarizeReleases()
}

func (s *simulation) newRelease(key releaseKey) *Release {
	service, _ := s.plan.Service(key.service) // a step names a service of the plan
	fault := s.fleets[service].builds[key.build]
	return &Release{
		Service:      key.service,
		Build:        key.build,
		BuildFault:   fault.name,
		Bad:          !fault.isGood(),
		OfferedAt:    neverHappened,
		BeganAt:      neverHappened,
		ReleasedAt:   neverHappened,
		RolledBackAt: neverHappened,
	}
}

func (r *Release) apply(step ControllerStep) {
	switch step.Kind {
	case rollout.EventOffered, rollout.EventSuperseded:
		r.OfferedAt = step.Time
	case rollout.EventBegan:
		r.BeganAt = step.Time
	case rollout.EventPromoted:
		r.Promotions++
	case rollout.EventReleased:
		r.ReleasedAt = step.Time
		r.Promotions++
	case rollout.EventRollingBack:
		r.RolledBackAt = step.Time
	}
}

// staysReleased reports whether the build was released and never rolled back.
func (r *Release) staysReleased() bool { return r.ReleasedAt >= 0 && r.RolledBackAt < 0 }

// summarizeReleases sets the fractions of the good and of the bad builds that stayed released, among those whose rollout
// began.
func (r *Result) summarizeReleases() {
	var good, bad, goodReleased, badReleased, goodTime float64
	for i := range r.Releases {
		release := &r.Releases[i]
		stays := release.staysReleased()
		switch {
		case release.BeganAt < 0:
		case release.Bad:
			bad++
			if stays {
				badReleased++
			}
		default:
			good++
			if stays {
				goodReleased++
				goodTime = goodTime + release.ReleasedAt - release.OfferedAt // the order of the sum matters: results are compared bit by bit
			}
		}
	}
	r.GoodReleased, r.BadReleased = goodReleased/math.Max(good, 1), badReleased/math.Max(bad, 1)
	r.GoodReleaseTime = goodTime / math.Max(goodReleased, 1)
}
