package plan

import "time"

// WallTime is a local date and time of day, without a zone. When a zone changes its offset, it skips some wall times or
// repeats them.
type WallTime struct {
	Year   int
	Month  time.Month
	Day    int
	Hour   int
	Minute int
	Second int
}

// WallTimeOf returns the wall time of t in t's own location.
func WallTimeOf(t time.Time) WallTime {
	year, month, day := t.Date()
	hour, minute, second := t.Clock()
	return WallTime{year, month, day, hour, minute, second}
}

// wallTimeOn returns the wall time on the date of day at a time since midnight.
func wallTimeOn(day time.Time, sinceMidnight time.Duration) WallTime {
	year, month, dayOfMonth := day.Date()
	return WallTime{year, month, dayOfMonth,
		int(sinceMidnight.Hours()), int(sinceMidnight.Minutes()) % 60, int(sinceMidnight.Seconds()) % 60}
}

// In returns the moment that time.Date chooses for the wall time in a zone. If the zone skips or repeats the wall time,
// that is one of two possible moments; Resolve handles both cases.
func (w WallTime) In(zone *time.Location) time.Time {
	return time.Date(w.Year, w.Month, w.Day, w.Hour, w.Minute, w.Second, 0, zone)
}

// Occurrence is how often a wall time occurs in a zone.
type Occurrence int

const (
	// OccursOnce means that the wall time is neither skipped nor repeated.
	OccursOnce Occurrence = iota
	// OccursNever means that the zone skips the wall time when its clocks are set forward.
	OccursNever
	// OccursTwice means that the zone repeats the wall time when its clocks are set back.
	OccursTwice
)

// Resolution is what a wall time means in a zone. First and Last are the moments at which it occurs. They are equal if
// it occurs once; if it never occurs, both are the moment at which the zone skips it.
type Resolution struct {
	Occurrence  Occurrence
	First, Last time.Time
}

// maxTimeAfterSkip is the longest time after a change of offset at which time.Date places a wall time that the change
// skips.
const maxTimeAfterSkip = 3 * time.Hour

// Resolve returns the moments at which the wall time occurs in a zone.
func (w WallTime) Resolve(zone *time.Location) Resolution {
	at := w.In(zone)
	start, end := at.ZoneBounds() // of the period with the offset at that moment; zero where unbounded
	if WallTimeOf(at) != w {
		// time.Date has chosen a moment on one side of the gap, which is at the start or at the end of the period.
		gap := end
		if !start.IsZero() && at.Sub(start) < maxTimeAfterSkip {
			gap = start
		}
		return Resolution{OccursNever, gap, gap}
	}
	if !start.IsZero() {
		earlier := at.Add(offsetAt(at) - offsetAt(start.Add(-time.Second)))
		if earlier.Before(at) && WallTimeOf(earlier) == w {
			return Resolution{OccursTwice, earlier, at}
		}
	}
	if !end.IsZero() {
		later := at.Add(offsetAt(at) - offsetAt(end))
		if later.After(at) && WallTimeOf(later) == w {
			return Resolution{OccursTwice, at, later}
		}
	}
	return Resolution{OccursOnce, at, at}
}

// offsetAt returns how far the zone of t is ahead of UTC at t.
func offsetAt(t time.Time) time.Duration {
	_, seconds := t.Zone()
	return time.Duration(seconds) * time.Second
}
