package plan

import "time"

// WallTime is a date and a time of day as a clock on the wall shows them, without a zone. A zone that changes its offset
// skips some wall times and shows others twice.
type WallTime struct {
	Year   int
	Month  time.Month
	Day    int
	Hour   int
	Minute int
	Second int
}

// WallTimeOf gives the wall time that t shows in its own location.
func WallTimeOf(t time.Time) WallTime {
	year, month, day := t.Date()
	hour, minute, second := t.Clock()
	return WallTime{year, month, day, hour, minute, second}
}

// wallTimeOn gives the wall time so long after midnight of a day.
func wallTimeOn(day time.Time, sinceMidnight time.Duration) WallTime {
	year, month, dayOfMonth := day.Date()
	return WallTime{year, month, dayOfMonth,
		int(sinceMidnight.Hours()), int(sinceMidnight.Minutes()) % 60, int(sinceMidnight.Seconds()) % 60}
}

// In gives the moment that time.Date takes for the wall time in a zone. Where the zone skips it or shows it twice, that is
// one of two moments; Resolve gives both.
func (w WallTime) In(zone *time.Location) time.Time {
	return time.Date(w.Year, w.Month, w.Day, w.Hour, w.Minute, w.Second, 0, zone)
}

// Occurrence says how often a zone shows a wall time.
type Occurrence int

const (
	// OccursOnce is the usual case.
	OccursOnce Occurrence = iota
	// OccursNever is a wall time that the zone skips when its clocks are put forward.
	OccursNever
	// OccursTwice is a wall time that the zone shows again when its clocks are put back.
	OccursTwice
)

// Resolution is what a wall time means in a zone. First and Last are the moments at which the zone shows it; for one that
// occurs once they are the same, and for one that never occurs both are the moment of the skip.
type Resolution struct {
	Occurrence  Occurrence
	First, Last time.Time
}

// maxSkipSearch is how far behind a change of offset time.Date lands at most where a wall time is skipped.
const maxSkipSearch = 3 * time.Hour

// Resolve finds the moments at which a zone shows the wall time.
func (w WallTime) Resolve(zone *time.Location) Resolution {
	at := w.In(zone)
	start, end := at.ZoneBounds() // of the offset that holds at that moment; zero where it has no bound
	if WallTimeOf(at) != w {
		// time.Date lands on one side of the gap; the gap is at the nearer bound.
		gap := end
		if !start.IsZero() && at.Sub(start) < maxSkipSearch {
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

// offsetAt is how far the zone of a time is ahead of UTC at that time.
func offsetAt(t time.Time) time.Duration {
	_, seconds := t.Zone()
	return time.Duration(seconds) * time.Second
}
