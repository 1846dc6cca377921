package plan

import (
	"math"
	"slices"
	"sort"
	"time"
	_ "time/tzdata" // zones are the same on every machine
)

// Span is when a freeze holds: once, or each week on some days.
type Schedule struct {
	Zone     *time.Location
	From, To time.Time      // once
	Days     [7]bool        // weekly, by time.Weekday; none: once
	Start    time.Duration  // weekly, since midnight
	End      time.Duration  // of the same day, or of the next where it is not after Start
	weekdays []time.Weekday // those of Days, in order
}

func (s *Schedule) weekly() bool { return len(s.weekdays) > 0 }

// wall gives the time at which a clock in a zone shows a day and a time. A time that the zone skips is when it
// skips it; one that it has twice is the first, or the last where late is set: a freeze takes in both.
func wall(zone *time.Location, day time.Time, since time.Duration, late bool) time.Time {
	y, m, d := day.Date()
	h, min, sec := int(since.Hours()), int(since.Minutes())%60, int(since.Seconds())%60
	t := time.Date(y, m, d, h, min, sec, 0, zone)
	other, kind := odd(t, y, m, d, h, min, sec)
	switch {
	case kind == skipped, kind == twice && (late == other.After(t)):
		return other
	}
	return t
}

type oddity int

const (
	plain oddity = iota
	skipped
	twice
)

// odd looks whether a wall time is skipped (and gives the moment of the skip) or there twice (and gives the other).
func odd(t time.Time, y int, m time.Month, d, h, min, sec int) (time.Time, oddity) {
	same := func(t time.Time) bool {
		ty, tm, td := t.Date()
		th, tmin, ts := t.Clock()
		return ty == y && tm == m && td == d && th == h && tmin == min && ts == sec
	}
	start, end := t.ZoneBounds()
	if !same(t) {
		// time.Date lands on one side of the gap; the gap is at the nearer bound.
		if !start.IsZero() && t.Sub(start) < 3*time.Hour {
			return start, skipped
		}
		return end, skipped
	}
	_, offset := t.Zone()
	if !start.IsZero() {
		_, before := start.Add(-time.Second).Zone()
		if o := t.Add(time.Duration(offset-before) * time.Second); offset < before && same(o) {
			return o, twice
		}
	}
	if !end.IsZero() {
		_, after := end.Zone()
		if o := t.Add(time.Duration(offset-after) * time.Second); after < offset && same(o) {
			return o, twice
		}
	}
	return t, plain
}

type window struct{ from, to Unix }

func unix(t time.Time) Unix { return float64(t.UnixNano()) / 1e9 }

// Time turns a Unix time into one of the standard library's, in UTC.
func Time(at Unix) time.Time {
	whole, part := math.Modf(at)
	return time.Unix(int64(whole), int64(part*1e9)).UTC()
}

// windows lists the times round a moment in which the span holds: those of the days from two before to nine after.
func (s *Schedule) windows(at Unix) []window {
	if !s.weekly() {
		return []window{{unix(s.From), unix(s.To)}}
	}
	var out []window
	y, m, d := Time(at).In(s.Zone).Date()
	for i := -2; i <= 9; i++ {
		day := time.Date(y, m, d+i, 12, 0, 0, 0, s.Zone)
		if !slices.Contains(s.weekdays, day.Weekday()) {
			continue
		}
		last := day
		if s.End <= s.Start {
			last = time.Date(y, m, d+i+1, 12, 0, 0, 0, s.Zone)
		}
		out = append(out, window{unix(wall(s.Zone, day, s.Start, false)), unix(wall(s.Zone, last, s.End, true))})
	}
	return out
}

// state says whether a freeze holds at a moment, from when to when, and when that next changes. Freezes are
// stretched by the skew at both ends.
func (f *Freeze) state(at Unix, skew Seconds) (in bool, w window, next Unix) {
	var all []window
	for i := range f.Schedules {
		for _, w := range f.Schedules[i].windows(at) {
			all = append(all, window{w.from - skew, w.to + skew})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].from < all[j].from })
	merged := all[:0]
	for _, w := range all {
		if n := len(merged); n > 0 && w.from <= merged[n-1].to {
			merged[n-1].to = math.Max(merged[n-1].to, w.to)
		} else {
			merged = append(merged, w)
		}
	}
	for _, w := range merged {
		if at < w.from {
			return false, window{}, w.from
		}
		if at < w.to {
			return true, w, w.to
		}
	}
	return false, window{}, math.Inf(1)
}

// Calendar answers what is frozen, and works it out again only when something changes. It is not for use by
// several goroutines at once.
type Calendar struct {
	plan *Plan
	skew Seconds
	at   Unix // that the state below was worked out for; it holds from there to next
	next Unix
	in   []bool
	span []window
}

// NewCalendar returns the calendar of a plan. With skew, freezes hold longer by the plan's skew at both ends.
func NewCalendar(p *Plan, skew bool) *Calendar {
	c := &Calendar{plan: p, at: math.Inf(1), in: make([]bool, len(p.Freezes)), span: make([]window, len(p.Freezes))}
	if skew {
		c.skew = p.Skew
	}
	return c
}

func (c *Calendar) look(at Unix) {
	if at >= c.at && at < c.next {
		return
	}
	c.at, c.next = at, math.Inf(1)
	for i := range c.plan.Freezes {
		var next Unix
		c.in[i], c.span[i], next = c.plan.Freezes[i].state(at, c.skew)
		c.next = math.Min(c.next, next)
	}
	// The windows that were looked at reach nine days; look again before that.
	c.next = math.Min(c.next, at+7*86400)
}

// Frozen is a freeze that holds, and from when to when.
type ActiveFreeze struct {
	Freeze       FreezeIndex
	Since, Until Unix
}

// Frozen says whether what stops is stopped for a service at a site (NoSite: at any), and until when: the longest
// of the freezes that hold.
func (c *Calendar) Frozen(at Unix, s ServiceIndex, site SiteIndex, what FreezeEffect) (ActiveFreeze, bool) {
	c.look(at)
	best, found := ActiveFreeze{Since: math.Inf(1)}, false
	for i := range c.plan.Freezes {
		f := &c.plan.Freezes[i]
		if !c.in[i] || f.Effect&what == 0 || !f.AppliesTo(s, site) {
			continue
		}
		if !found || c.span[i].to > best.Until {
			best.Freeze, best.Until = FreezeIndex(i), c.span[i].to
		}
		best.Since, found = math.Min(best.Since, c.span[i].from), true
	}
	return best, found
}

// Next is when anything changes.
func (c *Calendar) Next(at Unix) Unix {
	c.look(at)
	return c.next
}
