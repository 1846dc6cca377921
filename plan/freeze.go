package plan

import (
	"slices"
	"time"
	_ "time/tzdata" // time zones are the same on every machine
)

// FreezeEffect is a set of bits for what a freeze forbids. Rolling back is never forbidden.
type FreezeEffect int

const (
	// FreezeStarts forbids the first step of a build.
	FreezeStarts FreezeEffect = 1 << iota
	// FreezePromotions forbids each further step and the release.
	FreezePromotions
	// FreezeAll forbids both.
	FreezeAll = FreezeStarts | FreezePromotions
)

// Freeze forbids starts or promotions while one of its schedules holds.
type Freeze struct {
	Name      string
	Effect    FreezeEffect
	Services  []ServiceIndex // none: all
	Sites     []SiteIndex    // none: all
	Schedules []Schedule
}

// AppliesTo says whether the freeze is about a service at a site; with NoSite, at any site.
func (f *Freeze) AppliesTo(service ServiceIndex, site SiteIndex) bool {
	return emptyOrContains(f.Services, service) && (site == NoSite || emptyOrContains(f.Sites, site))
}

func emptyOrContains[T comparable](list []T, item T) bool {
	return len(list) == 0 || slices.Contains(list, item)
}

// Schedule is when a freeze holds: once, from From to To, or weekly, on Days from Start to End.
type Schedule struct {
	Zone  *time.Location
	From  time.Time     // once
	To    time.Time     // once
	Days  [7]bool       // weekly, by time.Weekday; none is set in a schedule that holds once
	Start time.Duration // weekly, since midnight
	End   time.Duration // weekly, since midnight of the same day, or of the next where it is not after Start
}

// Weekly says whether the schedule holds each week, not once.
func (s *Schedule) Weekly() bool { return s.Days != [7]bool{} }

// window is one interval in which a freeze holds, without its end.
type window struct{ from, to Unix }

// A weekly schedule is expanded into windows for these days round the moment that is asked about. One that began up to
// two days earlier may still hold, as a window lasts for a day at most and skew is added to it; the end of the range
// lies past maxStateAge, so that a cached answer never outlives what it was worked out from.
const (
	firstWindowDay = -2
	lastWindowDay  = 9
	maxStateAge    = 7 * secondsPerDay
	secondsPerDay  = 86400
)

// windows lists the intervals round a moment in which the schedule holds.
func (s *Schedule) windows(at Unix) []window {
	if !s.Weekly() {
		return []window{{FromTime(s.From), FromTime(s.To)}}
	}
	var windows []window
	year, month, today := Time(at).In(s.Zone).Date()
	for i := firstWindowDay; i <= lastWindowDay; i++ {
		// Noon stands for the day, as zones change their offset at night.
		day := time.Date(year, month, today+i, 12, 0, 0, 0, s.Zone)
		if !s.Days[day.Weekday()] {
			continue
		}
		lastDay := day
		if s.End <= s.Start {
			lastDay = time.Date(year, month, today+i+1, 12, 0, 0, 0, s.Zone)
		}
		from := wallTimeOn(day, s.Start).Resolve(s.Zone).First
		to := wallTimeOn(lastDay, s.End).Resolve(s.Zone).Last
		windows = append(windows, window{FromTime(from), FromTime(to)})
	}
	return windows
}
