package lab

import (
	"slices"
	"time"

	"lichenroad/plan"
)

// anySite stands for all sites that a step touches.
const anySite plan.SiteIndex = -1

// freezeIntervals writes a freeze's times out, day by day, for the time of the run and two days round it.
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

// isFrozen says whether a freeze forbids a service's step at a time, at a site or at any that the step touches.
func (c *checker) isFrozen(at float64, service plan.ServiceIndex, site plan.SiteIndex, effect plan.FreezeEffect, step int) bool {
	for i := range c.simulation.plan.Freezes {
		freeze := &c.simulation.plan.Freezes[i]
		otherService := len(freeze.Services) > 0 && !slices.Contains(freeze.Services, service)
		if freeze.Effect&effect == 0 || otherService || !c.concernsSite(freeze, service, site, step) {
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

// concernsSite says whether a freeze holds at a site, or at any that the step touches.
func (c *checker) concernsSite(freeze *plan.Freeze, service plan.ServiceIndex, site plan.SiteIndex, step int) bool {
	if len(freeze.Sites) == 0 {
		return true
	}
	if site != anySite {
		return slices.Contains(freeze.Sites, site)
	}
	return slices.ContainsFunc(freeze.Sites, func(frozen plan.SiteIndex) bool { return c.touches(service, step, frozen) })
}

// touches says whether a service's step, or one before it, opens a group at a site.
func (c *checker) touches(service plan.ServiceIndex, step int, site plan.SiteIndex) bool {
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
