package lab

import (
	"slices"
	"time"

	"lichenroad/plan"
)

// anySite stands for all sites at which a step or one before it opens a group.
const anySite plan.SiteIndex = -1

// freezeIntervals lists the intervals of a freeze, day by day, from two days before the run to two days after it.
func (c *checker) freezeIntervals(freeze *plan.Freeze) (intervals []interval) {
	start := time.Unix(int64(c.simulation.epoch), 0)
	for _, schedule := range freeze.Schedules {
		if !schedule.From.IsZero() {
			intervals = append(intervals, interval{schedule.From.Sub(start).Seconds(), schedule.To.Sub(start).Seconds()})
			continue
		}
		for offset := -2; offset <= int(c.simulation.options.Days)+2; offset++ {
			date := start.In(schedule.Zone).AddDate(0, 0, offset)
			if !schedule.Days[date.Weekday()] {
				continue
			}
			year, month, day := date.Date()
			lastDay := day
			if schedule.End <= schedule.Start {
				lastDay++
			}
			from := time.Date(year, month, day, 0, 0, int(schedule.Start.Seconds()), 0, schedule.Zone)
			to := time.Date(year, month, lastDay, 0, 0, int(schedule.End.Seconds()), 0, schedule.Zone)
			intervals = append(intervals, interval{from.Sub(start).Seconds(), to.Sub(start).Seconds()})
		}
	}
	return intervals
}

// isFrozen reports whether a freeze with the given effect applies to a service at a time. The freeze must cover the site or,
// for anySite, any site at which the step or one before it opens a group.
func (c *checker) isFrozen(at float64, service plan.ServiceIndex, site plan.SiteIndex, effect plan.FreezeEffect, step int) bool {
	for i := range c.simulation.plan.Freezes {
		freeze := &c.simulation.plan.Freezes[i]
		otherService := len(freeze.Services) > 0 && !slices.Contains(freeze.Services, service)
		if freeze.Effect&effect == 0 || otherService || !c.appliesToSite(freeze, service, site, step) {
			continue
		}
		for _, frozen := range c.freezeTimes[i] {
			if at >= frozen.from && at < frozen.to {
				return true
			}
		}
	}
	return false
}

// appliesToSite reports whether a freeze covers a site or, for anySite, any site at which the step or one before it opens a
// group. A freeze without sites covers all.
func (c *checker) appliesToSite(freeze *plan.Freeze, service plan.ServiceIndex, site plan.SiteIndex, step int) bool {
	if len(freeze.Sites) == 0 {
		return true
	}
	if site != anySite {
		return slices.Contains(freeze.Sites, site)
	}
	return slices.ContainsFunc(freeze.Sites, func(frozen plan.SiteIndex) bool { return c.opensGroupAt(service, step, frozen) })
}

// opensGroupAt reports whether a service's step, or one before it, opens a group at a site. The release, which follows the
// last step, does so at every site.
func (c *checker) opensGroupAt(service plan.ServiceIndex, step int, site plan.SiteIndex) bool {
	steps := c.simulation.plan.Services[service].Steps
	if step >= len(steps) {
		return true
	}
	for i := range steps[:step+1] {
		for _, scope := range steps[i].OpenGroups {
			if scope.Site == site {
				return true
			}
		}
	}
	return false
}
