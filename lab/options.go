package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Options are the parameters of a run. The zero value of a field means none, where nothing else is said.
type Options struct {
	Plan             *plan.Plan
	Seed             int64
	Days             float64
	Start            plan.Unix // 00:00 UTC of the first day; 0: a fixed Monday
	Relays           int       // of all services together
	Endpoints        int       // of all services together
	Faults           Faults
	BadBuildFraction float64 // of the builds that are bad
	LoadFactor       float64 // times the load of an ordinary day; 0: once

	Guard          rollout.GuardSafeguards // that are disabled
	Controller     rollout.Safeguards      // that are disabled
	IgnoreVotes    bool                    // votes are dropped, as in the baseline whose steps are timed
	NewModule      func(relay.Settings, int64) module
	ChangeSettings func(*relay.Settings) // of the relays
	KeepTimeline   bool                  // the result has the lines of the timeline

	Progress func(day float64)
}

// DisableSafeguard disables one safeguard by its name, and says whether there is one of that name.
func (o *Options) DisableSafeguard(name string) bool {
	disabled, ok := map[string]*bool{
		"guard":          &o.Guard.All,
		"guard-freezes":  &o.Guard.Freezes,
		"guard-needs":    &o.Guard.Dependencies,
		"guard-unheard":  &o.Guard.UnknownDependencies,
		"guard-groups":   &o.Guard.Groups,
		"guard-ceiling":  &o.Guard.FreezeCeiling,
		"guard-skew":     &o.Guard.ClockSkew,
		"guard-votes":    &o.Guard.VoteFilter,
		"guard-start":    &o.Guard.StartInFreeze,
		"guard-backward": &o.Guard.BackwardStatus,
		"desk-freezes":   &o.Controller.Freezes,
		"desk-needs":     &o.Controller.Dependencies,
		"desk-least":     &o.Controller.MinStepTime,
		"desk-narrow":    &o.Controller.LostDependencies,
	}[name]
	if ok {
		*disabled = true
	}
	return ok
}

// UseClockBaseline makes the run a baseline in which time alone moves steps, and nobody's vote counts.
func (o *Options) UseClockBaseline() {
	timed := *o.Plan
	timed.Services = append([]plan.Service(nil), timed.Services...)
	for i := range timed.Services {
		service := &timed.Services[i]
		longest := 0.0
		for _, step := range service.Steps {
			longest = math.Max(longest, step.MinTime)
		}
		service.Votes.Control, service.Votes.StepTime = plan.ControlTimed, longest
	}
	o.Plan, o.IgnoreVotes = &timed, true
}
