package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// FromTime converts a time.Time to Unix time.
func FromTime(t time.Time) Unix { return float64(t.UnixNano()) / 1e9 }

// Time converts a Unix time to a time.Time in UTC.
func Time(at Unix) time.Time {
	seconds, fraction := math.Modf(at)
	return time.Unix(int64(seconds), int64(fraction*1e9)).UTC()
}

// freezeState is the state of a freeze at a moment, which holds until nextChange.
type freezeState struct {
	frozen     bool
	window     window // window in which the moment is; set only if frozen
	nextChange Unix   // when frozen changes next; infinite if it does not within the expanded windows
}

// state returns the freeze's state at a moment. The freeze's windows are extended by the skew at both ends.
func (f *Freeze) state(at Unix, skew Seconds) freezeState {
	var windows []window
	for i := range f.Schedules {
		for _, w := range f.Schedules[i].windowsAround(at) {
			windows = append(windows, window{w.from - skew, w.to + skew})
		}
	}
	for _, w := range mergeWindows(windows) {
		if at < w.from {
			return freezeState{nextChange: w.from}
		}
		if at < w.to {
			return freezeState{frozen: true, window: w, nextChange: w.to}
		}
	}
	return freezeState{nextChange: math.Inf(1)}
}

// mergeWindows sorts windows and joins those that overlap or touch. It reuses the slice.
func mergeWindows(windows []window) []window {
	slices.SortFunc(windows, func(a, b window) int { return cmp.Compare(a.from, b.from) })
	merged := windows[:0]
	for _, w := range windows {
		if n := len(merged); n > 0 && w.from <= merged[n-1].to {
			merged[n-1].to = math.Max(merged[n-1].to, w.to)
		} else {
			merged = append(merged, w)
		}
	}
	return merged
}

// Calendar tells which freezes of a plan are in force. It caches its answers until a freeze may begin or end, so it
// belongs to one goroutine.
type Calendar struct {
	plan       *Plan
	skew       Seconds
	states     []freezeState // by FreezeIndex; valid from computedAt until nextChange
	computedAt Unix
	nextChange Unix
}

// NewCalendar returns the calendar of a plan. With withSkew, freezes are extended by the plan's skew at both ends.
func NewCalendar(p *Plan, withSkew bool) *Calendar {
	c := &Calendar{plan: p, computedAt: math.Inf(1), states: make([]freezeState, len(p.Freezes))}
	if withSkew {
		c.skew = p.Skew
	}
	return c
}

// update recomputes the states unless the cached ones are valid at a moment.
func (c *Calendar) update(at Unix) {
	if at >= c.computedAt && at < c.nextChange {
		return
	}
	c.computedAt, c.nextChange = at, math.Inf(1)
	for i := range c.plan.Freezes {
		c.states[i] = c.plan.Freezes[i].state(at, c.skew)
		c.nextChange = math.Min(c.nextChange, c.states[i].nextChange)
	}
	c.nextChange = math.Min(c.nextChange, at+maxStateAge)
}

// ActiveFreeze describes the freezes in force at a moment by the one that ends last.
type ActiveFreeze struct {
	Freeze FreezeIndex
	Since  Unix // earliest start of all freezes in force
	Until  Unix // end of Freeze
}

// Frozen reports whether a freeze with any of the given effects is in force for a service at a site (NoSite: at any
// site). If there are several, it returns the one that ends last.
func (c *Calendar) Frozen(at Unix, service ServiceIndex, site SiteIndex, effect FreezeEffect) (ActiveFreeze, bool) {
	c.update(at)
	active, found := ActiveFreeze{Since: math.Inf(1)}, false
	for i, state := range c.states {
		freeze := &c.plan.Freezes[i]
		if !state.frozen || freeze.Effect&effect == 0 || !freeze.AppliesTo(service, site) {
			continue
		}
		if !found || state.window.to > active.Until {
			active.Freeze, active.Until = FreezeIndex(i), state.window.to
		}
		active.Since = math.Min(active.Since, state.window.from)
		found = true
	}
	return active, found
}

// NextChange returns the earliest time at which a freeze may begin or end.
func (c *Calendar) NextChange(at Unix) Unix {
	c.update(at)
	return c.nextChange
}
