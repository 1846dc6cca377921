package plan

import (
	"math"
	"time"
)

// Milestone is a point in the rollout of a service's build: a step, or the release, which counts as one past the last
// step.
type Milestone struct {
	Service ServiceIndex
	Step    StepIndex
}

// FindCycle looks for milestones that wait for one another; a step waits for the step before it and for its
// dependencies. It returns the first cycle that it finds, with the first milestone repeated at the end, or nil if there
// is none. One cycle is enough to report, as other cycles mostly overlap with it.
func (p *Plan) FindCycle() []Milestone {
	search := cycleSearch{plan: p, states: map[Milestone]visitState{}}
	for i := range p.Services {
		released := Milestone{ServiceIndex(i), StepIndex(len(p.Services[i].Steps))}
		if cycle := search.findCycleFrom(released); cycle != nil {
			return cycle
		}
	}
	return nil
}

type visitState int

const (
	visiting visitState = iota + 1
	visited
)

// cycleSearch is a depth-first search through the milestones of a plan.
type cycleSearch struct {
	plan   *Plan
	states map[Milestone]visitState // absent: not visited
	path   []Milestone              // milestones being visited, each waiting for the next
}

// findCycleFrom searches the milestones that a milestone waits for, and returns the first cycle found.
func (c *cycleSearch) findCycleFrom(at Milestone) []Milestone {
	switch c.states[at] {
	case visiting:
		return c.cycleTo(at)
	case visited:
		return nil
	}
	c.states[at] = visiting
	c.path = append(c.path, at)
	for _, prerequisite := range c.plan.prerequisites(at) {
		if cycle := c.findCycleFrom(prerequisite); cycle != nil {
			return cycle
		}
	}
	c.path = c.path[:len(c.path)-1]
	c.states[at] = visited
	return nil
}

// cycleTo returns the part of the path that begins at a milestone, with that milestone repeated at the end.
func (c *cycleSearch) cycleTo(at Milestone) []Milestone {
	first := 0
	for i := range c.path {
		if c.path[i] == at {
			first = i
		}
	}
	return append(c.path[first:], at)
}

// prerequisites returns the milestones that a milestone waits for.
func (p *Plan) prerequisites(at Milestone) []Milestone {
	var milestones []Milestone
	if at.Step > 0 {
		milestones = append(milestones, Milestone{at.Service, at.Step - 1})
	}
	steps := p.Services[at.Service].Steps
	if int(at.Step) == len(steps) {
		return milestones
	}
	for _, dependency := range steps[at.Step].Dependencies {
		step := dependency.Step
		if dependency.Released {
			step = StepIndex(len(p.Services[dependency.Service].Steps))
		}
		milestones = append(milestones, Milestone{dependency.Service, step})
	}
	return milestones
}

// EndlessFreeze is a freeze that, together with others, leaves no time for a service's builds to start or to be
// promoted.
type EndlessFreeze struct {
	Freeze  FreezeIndex
	Service ServiceIndex
}

// FindEndlessFreeze looks for a service that is always in some weekly freeze, extended by the clock skew at both ends.
// Freezes that hold only once are ignored, as they end.
func (p *Plan) FindEndlessFreeze() (EndlessFreeze, bool) {
	weekly, original := p.weeklyFreezes()
	calendar := NewCalendar(weekly, true)
	for i := range p.Services {
		for _, effect := range []FreezeEffect{FreezeStarts, FreezePromotions} {
			if last, endless := calendar.findEndless(ServiceIndex(i), effect); endless {
				return EndlessFreeze{original[last], ServiceIndex(i)}, true
			}
		}
	}
	return EndlessFreeze{}, false
}

// weeklyFreezes returns a plan with only the weekly schedules of p, and the index in p of each of its freezes.
func (p *Plan) weeklyFreezes() (*Plan, []FreezeIndex) {
	weekly := &Plan{Skew: p.Skew}
	var original []FreezeIndex
	for i, freeze := range p.Freezes {
		var schedules []Schedule
		for _, schedule := range freeze.Schedules {
			if schedule.Weekly() {
				schedules = append(schedules, schedule)
			}
		}
		if len(schedules) == 0 {
			continue
		}
		freeze.Schedules = schedules
		weekly.Freezes = append(weekly.Freezes, freeze)
		original = append(original, FreezeIndex(i))
	}
	return weekly, original
}

// endlessSearchStart is the Monday at which findEndless starts. Any week will do, as weekly schedules repeat. If no
// moment is free within endlessSearchSeconds, which is more than a week, none ever is.
var endlessSearchStart = FromTime(time.Date(2026, time.January, 5, 0, 0, 0, 0, time.UTC))

const endlessSearchSeconds = 10 * secondsPerDay

// findEndless looks for a moment without a freeze: from the end of each freeze it goes on to the end of the one that is
// in force then. If it finds no such moment, it returns the last of these freezes.
func (c *Calendar) findEndless(service ServiceIndex, effect FreezeEffect) (FreezeIndex, bool) {
	var last FreezeIndex
	for at := endlessSearchStart; at < endlessSearchStart+endlessSearchSeconds; {
		active, frozen := c.Frozen(at, service, NoSite, effect)
		if !frozen {
			return 0, false
		}
		last = active.Freeze
		at = math.Max(active.Until, at+1)
	}
	return last, true
}
