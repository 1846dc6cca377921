// Package logsummary summarizes the logs of a fleet of relays: for each kind of line, how many there were, at how many
// relays, from when to when, and the second with the most. It shows what is harmless at one relay and adds up to a fault
// over the fleet. A Summary holds all counts in memory and reads one log at a time; it starts no goroutine and is not safe
// for concurrent use. Lines written before the log's words changed are counted by the present words. The package imports
// nothing of the program.
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
	maxLineBytes  = 64 << 10 // a relay's own lines are under 1 KB
	readBytes     = 4 << 10  // of the reader's first buffer
	maxKinds      = 512      // kinds counted apart
	overflowKinds = "other kinds"
)

// Row is the summary of one kind of line over the fleet.
type Row struct {
	Kind       string
	Lines      int
	Relays     int     // that logged it
	First      float64 // seconds, of the first line
	Last       float64 // seconds, of the last line
	PeakSecond float64 // the second with the most lines, the earliest of several
	PeakLines  int     // lines in that second
}

// kindCounts is what is known of one kind of line so far.
type kindCounts struct {
	lines         int
	relays        map[string]bool
	first, last   float64 // seconds
	linesBySecond map[int]int
}

// Summary adds up the logs of a fleet. New returns an empty one.
type Summary struct {
	From     float64 // seconds: earlier lines are left out
	To       float64 // seconds: lines from then on are left out; 0 means no end
	Unparsed int     // lines that no relay wrote, or that are cut off
	relays   int
	dated    time.Time // date of the first line without a time stamp in seconds; such lines count from there
	kinds    map[string]*kindCounts
}

// New returns an empty summary.
func New() *Summary { return &Summary{kinds: map[string]*kindCounts{}} }

// Relays is the number of logs read.
func (s *Summary) Relays() int { return s.relays }

// Read adds the log of one relay. It fails where the log can't be read or has a line over 64 KiB; what came before
// the failure is counted.
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
		if s.within(at) {
			s.add(relay, at, kind)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", relay, err)
	}
	return nil
}

func (s *Summary) within(at float64) bool {
	return at >= s.From && (s.To <= 0 || at < s.To)
}

func (s *Summary) add(relay string, at float64, kind string) {
	counts := s.countsOf(kind, at)
	counts.lines++
	counts.relays[relay] = true
	counts.first, counts.last = math.Min(counts.first, at), math.Max(counts.last, at)
	counts.linesBySecond[int(math.Floor(at))]++
}

// countsOf gives the counts of a kind, which are new where at is its first line. Kinds beyond maxKinds share one.
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

// Rows gives one row for each kind, the most frequent first.
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
