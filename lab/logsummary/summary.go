// Package logsummary summarizes the logs of a fleet of relays. For each kind of line it gives the number of lines and relays,
// the times of the first and the last line, and the second with the most lines. The summary shows events that are harmless at
// one relay but add up to a fault over the fleet. Lines of older logs that use earlier terms are counted under the current
// terms.
//
// A Summary holds all counts in memory and reads one log at a time. It starts no goroutine and is not safe for concurrent
// use. The package imports no other package of lichenroad.
package logsummary

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

const (
	maxLineBytes  = 64 << 10      // lines that a relay writes are under 1 KB
	readBytes     = 4 << 10       // initial size of the line buffer
	maxKinds      = 512           // kinds that are counted separately
	overflowKinds = "other kinds" // all kinds beyond maxKinds
)

// Row is the summary of one kind of line over the fleet.
type Row struct {
	Kind       string
	Lines      int
	Relays     int     // relays that logged it
	First      float64 // time of the first line in seconds
	Last       float64 // time of the last line in seconds
	PeakSecond float64 // second with the most lines; the earliest if there are several
	PeakLines  int     // lines in that second
}

// kindCounts holds the counts of one kind of line.
type kindCounts struct {
	lines         int
	relays        map[string]bool
	first, last   float64 // seconds
	linesBySecond map[int]int
}

// Summary is the summary of the logs of a fleet. Use New to create one.
type Summary struct {
	From      float64 // seconds; earlier lines are left out
	To        float64 // seconds; lines at or after this time are left out; 0: no limit
	Unparsed  int     // lines that were not written by a relay, or that are incomplete
	relays    int
	firstDate time.Time // date of the first line without a timestamp in seconds; the times of such lines count from it
	kinds     map[string]*kindCounts
}

// New returns an empty summary.
func New() *Summary { return &Summary{kinds: map[string]*kindCounts{}} }

// Relays returns the number of logs that were read.
func (s *Summary) Relays() int { return s.relays }

// Read adds the log of one relay. It fails if the log can't be read or has a line longer than 64 KiB. Lines before the
// failure are counted.
func (s *Summary) Read(relay string, log io.Reader) error {
	s.relays++
	lines := bufio.NewScanner(log)
	lines.Buffer(make([]byte, 0, readBytes), maxLineBytes)
	for lines.Scan() {
		at, kind, ok := s.parseLine(lines.Text())
		if !ok {
			s.Unparsed++
			continue
		}
		if s.inTimeRange(at) {
			s.add(relay, at, kind)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("reading log %s: %w", relay, err)
	}
	return nil
}

func (s *Summary) inTimeRange(at float64) bool {
	return at >= s.From && (s.To <= 0 || at < s.To)
}

func (s *Summary) add(relay string, at float64, kind string) {
	counts := s.countsOf(kind, at)
	counts.lines++
	counts.relays[relay] = true
	counts.first, counts.last = math.Min(counts.first, at), math.Max(counts.last, at)
	counts.linesBySecond[int(math.Floor(at))]++
}

// countsOf returns the counts of a kind. It creates them if this is the first line of the kind, logged at the time at. All
// kinds beyond maxKinds share the counts of overflowKinds.
func (s *Summary) countsOf(kind string, at float64) *kindCounts {
	if counts := s.kinds[kind]; counts != nil {
		return counts
	}
	if len(s.kinds) >= maxKinds {
		kind = overflowKinds
	}
	counts := s.kinds[kind]
	if counts == nil {
		counts = &kindCounts{relays: map[string]bool{}, first: at, last: at, linesBySecond: map[int]int{}}
		s.kinds[kind] = counts
	}
	return counts
}

// Rows returns one row for each kind, the most frequent kind first.
func (s *Summary) Rows() []Row {
	var rows []Row
	for kind, counts := range s.kinds {
		rows = append(rows, counts.row(kind))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Lines, a.Lines), cmp.Compare(a.Kind, b.Kind))
	})
	return rows
}

func (c *kindCounts) row(kind string) Row {
	row := Row{Kind: kind, Lines: c.lines, Relays: len(c.relays), First: c.first, Last: c.last}
	for second, lines := range c.linesBySecond {
		earlier := float64(second) < row.PeakSecond
		if lines > row.PeakLines || lines == row.PeakLines && earlier {
			row.PeakLines, row.PeakSecond = lines, float64(second)
		}
	}
	return row
}
