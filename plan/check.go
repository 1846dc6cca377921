package plan

import (
	"math"
	"time"
)

// Milestone is a point that a service's build reaches: a step, or its release, which stands one past the last step.
type Milestone struct {
	Service ServiceIndex
	Step    StepIndex
}

// FindCycle looks for milestones that wait for one another: a step waits for the step before it and for its
// dependencies. It gives the first cycle that it finds, with its first milestone once more at the end; nil where there
// is none. One cycle is enough to report, as others mostly share a part with it.
func (p *Plan) FindCycle() []Milestone {
	search := cycleSearch{plan: p, states: map[Milestone]visitState{}}
	for i := range p.Services {
		released := Milestone{ServiceIndex(i), StepIndex(len(p.Services[i].Steps))}
		if cycle := search.visit(released); cycle != nil {
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
	path   []Milestone              // that lead to the one that is visited
}

// visit searches what a milestone waits for.
func (c *cycleSearch) visit(at Milestone) []Milestone {
	switch c.states[at] {
	case visiting:
		return c.cycleTo(at)
	case visited:
		return nil
	}
	c.states[at] = visiting
	c.path = append(c.path, at)
	for _, awaited := range c.plan.awaitedBy(at) {
		if cycle := c.visit(awaited); cycle != nil {
			return cycle
		}
	}
	c.path = c.path[:len(c.path)-1]
	c.states[at] = visited
	return nil
}

// cycleTo is the part of the path from a milestone on, and the milestone again.
func (c *cycleSearch) cycleTo(at Milestone) []Milestone {
	first := 0
	for i := range c.path {
		if c.path[i] == at {
			first = i
		}
	}
	return append(c.path[first:], at)
}

// awaitedBy lists what a milestone waits for.
func (p *Plan) awaitedBy(at Milestone) []Milestone {
	var awaited []Milestone
	if at.Step > 0 {
		awaited = append(awaited, Milestone{at.Service, at.Step - 1})
	}
	steps := p.Services[at.Service].Steps
	if int(at.Step) == len(steps) {
		return awaited
	}
	for _, dependency := range steps[at.Step].Dependencies {
		step := dependency.Step
		if dependency.Released {
			step = StepIndex(len(p.Services[dependency.Service].Steps))
		}
		awaited = append(awaited, Milestone{dependency.Service, step})
	}
	return awaited
}

// EndlessFreeze names a freeze that, with others, leaves a service no time to start or to be promoted.
type EndlessFreeze struct {
	Freeze  FreezeIndex
	Service ServiceIndex
}

// FindEndlessFreeze looks for a service that weekly freezes, clock skew at both ends included, leave no time. Freezes that
// hold once end by themselves and are not looked at.
func (p *Plan) FindEndlessFreeze() (EndlessFreeze, bool) {
	weekly, original := p.weeklyFreezes()
	calendar := NewCalendar(weekly, true)
	for i := range p.Services {
		for _, effect := range []FreezeEffect{FreezeStarts, FreezePromotions} {
			if last, endless := calendar.endless(ServiceIndex(i), effect); endless {
				return EndlessFreeze{original[last], ServiceIndex(i)}, true
			}
		}
	}
	return EndlessFreeze{}, false
}

// weeklyFreezes is a plan of the weekly schedules alone, and each of its freezes' place in p.
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

// endlessStart is the Monday on which endless begins to look; weekly schedules make one week as good as another. After
// endlessSearch, over a week, a freeze that still holds holds for ever.
var endlessStart = FromTime(time.Date(2026, time.January, 5, 0, 0, 0, 0, time.UTC))

const endlessSearch = 10 * secondsPerDay

// endless goes from the end of a freeze to the end of the one that holds then, and so on. Where that finds no free moment
// it gives the last of them.
func (c *Calendar) endless(service ServiceIndex, effect FreezeEffect) (FreezeIndex, bool) {
	var last FreezeIndex
	for at := endlessStart; at < endlessStart+endlessSearch; {
		active, frozen := c.Frozen(at, service, NoSite, effect)
		if !frozen {
			return 0, false
		}
		last = active.Freeze
		at = math.Max(active.Until, at+1)
	}
	return last, true
}
