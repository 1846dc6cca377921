package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Options are the parameters of a run. Unless a field says otherwise, its zero value means none.
type Options struct {
	Plan             *plan.Plan
	Seed             int64
	Days             float64
	Start            plan.Unix // 00:00 UTC on the first day; 0: a fixed Monday
	Relays           int       // number of relays, over all services
	Endpoints        int       // number of endpoints, over all services
	Faults           Faults
	BadBuildFraction float64 // fraction of the builds that are bad
	LoadFactor       float64 // multiplies the request rate of an ordinary day; 0 means 1

	Guard          rollout.GuardSafeguards            // disabled safeguards of the guards
	Controller     rollout.Safeguards                 // disabled safeguards of the controller
	IgnoreVotes    bool                               // votes are dropped, as in the baseline with timed steps
	NewModule      func(relay.Settings, int64) module // from settings and seed; nil: the real module
	ChangeSettings func(*relay.Settings)              // adjusts the settings of the relays; nil: unchanged
	KeepTimeline   bool                               // the result contains the lines of the timeline

	Progress func(day float64) // called now and then with the simulated time in days; nil: never
}

// DisableSafeguard disables the safeguard with a given name, and reports whether it exists.
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

// UseClockBaseline turns the run into a baseline in which builds are promoted by time alone and votes are ignored. Each step
// of a service lasts as long as the longest minimum time of its steps.
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
