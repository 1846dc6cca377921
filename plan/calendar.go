package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// FromTime turns a time of the standard library into Unix time.
func FromTime(t time.Time) Unix { return float64(t.UnixNano()) / 1e9 }

// Time turns a Unix time into one of the standard library's, in UTC.
func Time(at Unix) time.Time {
	seconds, fraction := math.Modf(at)
	return time.Unix(int64(seconds), int64(fraction*1e9)).UTC()
}

// freezeState is a freeze's state from one moment until its next change.
type freezeState struct {
	frozen bool
	window window // in which it is frozen
	change Unix   // when frozen changes next, as far as was looked
}

// state gives the freeze's state at a moment. Its windows are longer by the skew at both ends.
func (f *Freeze) state(at Unix, skew Seconds) freezeState {
	var windows []window
	for i := range f.Schedules {
		for _, w := range f.Schedules[i].windows(at) {
			windows = append(windows, window{w.from - skew, w.to + skew})
		}
	}
	for _, w := range merge(windows) {
		if at < w.from {
			return freezeState{change: w.from}
		}
		if at < w.to {
			return freezeState{frozen: true, window: w, change: w.to}
		}
	}
	return freezeState{change: math.Inf(1)}
}

// merge joins the windows that overlap or touch, in place, and sorts them.
func merge(windows []window) []window {
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

// Calendar answers which freezes hold. It keeps the last answer and works out the next only when something may have
// changed, so it belongs to one goroutine.
type Calendar struct {
	plan     *Plan
	skew     Seconds
	states   []freezeState // by FreezeIndex; they hold from computed until change
	computed Unix
	change   Unix
}

// NewCalendar returns the calendar of a plan. With withSkew, freezes hold longer by the plan's skew at both ends.
func NewCalendar(p *Plan, withSkew bool) *Calendar {
	c := &Calendar{plan: p, computed: math.Inf(1), states: make([]freezeState, len(p.Freezes))}
	if withSkew {
		c.skew = p.Skew
	}
	return c
}

// update works the states out anew where they don't cover a moment.
func (c *Calendar) update(at Unix) {
	if at >= c.computed && at < c.change {
		return
	}
	c.computed, c.change = at, math.Inf(1)
	for i := range c.plan.Freezes {
		c.states[i] = c.plan.Freezes[i].state(at, c.skew)
		c.change = math.Min(c.change, c.states[i].change)
	}
	c.change = math.Min(c.change, at+maxStateAge)
}

// ActiveFreeze is a freeze that holds, and from when to when.
type ActiveFreeze struct {
	Freeze FreezeIndex
	Since  Unix // the earliest start of all freezes that hold
	Until  Unix
}

// Frozen says whether any of the effects is in force for a service at a site (NoSite: at any site). Of the freezes that
// hold it gives the one that ends last.
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

// NextChange is when any freeze may begin or end, at the earliest.
func (c *Calendar) NextChange(at Unix) Unix {
	c.update(at)
	return c.change
}
