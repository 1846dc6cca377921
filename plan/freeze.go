package plan

import (
	"slices"
	"time"
	_ "time/tzdata" // time zones are known on every machine
)

// FreezeEffect is a bit set of what a freeze forbids. Rollbacks are never forbidden.
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
	Services  []ServiceIndex // empty: all
	Sites     []SiteIndex    // empty: all
	Schedules []Schedule
}

// AppliesTo reports whether the freeze covers a service at a site; with NoSite, at any site.
func (f *Freeze) AppliesTo(service ServiceIndex, site SiteIndex) bool {
	return emptyOrContains(f.Services, service) && (site == NoSite || emptyOrContains(f.Sites, site))
}

func emptyOrContains[T comparable](list []T, item T) bool {
	return len(list) == 0 || slices.Contains(list, item)
}

// Schedule is when a freeze holds: either once, from From to To, or weekly, on Days from Start to End.
type Schedule struct {
	Zone  *time.Location
	From  time.Time     // once
	To    time.Time     // once
	Days  [7]bool       // weekly, by time.Weekday; none if the schedule holds once
	Start time.Duration // weekly, since midnight
	End   time.Duration // weekly, since midnight of the same day, or of the next day if not after Start
}

// Weekly reports whether the schedule holds every week instead of once.
func (s *Schedule) Weekly() bool { return s.Days != [7]bool{} }

// window is a half-open interval in which a freeze holds: from is part of it, to is not.
type window struct{ from, to Unix }

// A weekly schedule is expanded into windows from firstWindowDay to lastWindowDay, in days relative to the moment
// queried. A window that began up to two days earlier may still hold, as it lasts up to a day and is extended by the
// skew. The last day is beyond maxStateAge, so that a cached state never outlives the windows that it was computed
// from.
const (
	firstWindowDay = -2
	lastWindowDay  = 9
	maxStateAge    = 7 * secondsPerDay // seconds
	secondsPerDay  = 86400
)

// windowsAround returns the intervals around a moment in which the schedule holds.
func (s *Schedule) windowsAround(at Unix) []window {
	if !s.Weekly() {
		return []window{{FromTime(s.From), FromTime(s.To)}}
	}
	var windows []window
	year, month, today := Time(at).In(s.Zone).Date()
	for i := firstWindowDay; i <= lastWindowDay; i++ {
		// Noon identifies the day, as it is never skipped or repeated: zones change their offset at night.
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
