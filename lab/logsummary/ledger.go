// Package logsummary counts what the relays of a fleet logged: of each kind of line, how many there were, at how many relays,
// from when to when, and in which second the most. What one relay does and is harmless shows its sum here.
package logsummary

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	longest   = 64 << 10 // bytes of a line; a relay's own are under 1 KB
	mostKinds = 512      // kinds told apart; the rest stand as one
	rest      = "other kinds"
)

// Row is one kind of line over the fleet.
type Row struct {
	Kind        string
	Lines       int
	Relays      int
	First, Last float64 // s
	PeakSecond  float64 // the second in which most came
	PeakLines   int     // lines in it
}

type kind struct {
	lines       int
	relays      map[string]bool
	first, last float64
	seconds     map[int]int
}

// Ledger adds up the logs of a fleet.
type Summary struct {
	From, To float64 // s: lines outside are left out; To 0: no end
	Unparsed int     // lines that are none of a relay's
	relays   int
	start    time.Time // of the first line that has only a date
	kinds    map[string]*kind
}

// New returns an empty ledger.
func New() *Summary { return &Summary{kinds: map[string]*kind{}} }

// Relays is how many logs were read.
func (l *Summary) Relays() int { return l.relays }

// Read adds one relay's log.
func (l *Summary) Read(relay string, r io.Reader) error {
	l.relays++
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 4096), longest)
	for in.Scan() {
		at, what, ok := l.line(in.Text())
		if !ok {
			l.Unparsed++
			continue
		}
		if at < l.From || l.To > 0 && at >= l.To {
			continue
		}
		l.add(relay, at, what)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("%s: %w", relay, err)
	}
	return nil
}

func (l *Summary) add(relay string, at float64, what string) {
	k := l.kinds[what]
	if k == nil {
		if len(l.kinds) >= mostKinds {
			what = rest
		}
		if k = l.kinds[what]; k == nil {
			k = &kind{relays: map[string]bool{}, first: at, last: at, seconds: map[int]int{}}
			l.kinds[what] = k
		}
	}
	k.lines++
	k.relays[relay] = true
	k.first, k.last = math.Min(k.first, at), math.Max(k.last, at)
	k.seconds[int(math.Floor(at))]++
}

// Rows gives the kinds, the most frequent first.
func (l *Summary) Rows() (rows []Row) {
	for name, k := range l.kinds {
		r := Row{Kind: name, Lines: k.lines, Relays: len(k.relays), First: k.first, Last: k.last}
		for s, n := range k.seconds {
			if n > r.PeakLines || n == r.PeakLines && float64(s) < r.PeakSecond {
				r.PeakLines, r.PeakSecond = n, float64(s)
			}
		}
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Lines != rows[j].Lines {
			return rows[i].Lines > rows[j].Lines
		}
		return rows[i].Kind < rows[j].Kind
	})
	return rows
}

var (
	field  = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)
	figure = regexp.MustCompile(`-?[0-9][0-9.]*`)
)

// line reads one line: its time, by a recorder's stamp in seconds before it or else by its own date, and its kind, which
// is its text without figures and what stands behind a colon, with peer and reason where it has them.
func (l *Summary) line(text string) (at float64, what string, ok bool) {
	stamp, body, _ := strings.Cut(text, " ")
	at, err := strconv.ParseFloat(stamp, 64)
	stamped := err == nil && !math.IsNaN(at) && !math.IsInf(at, 0) && math.Abs(at) < 1e9
	if !stamped {
		body = text
	}
	has := map[string]string{}
	for _, m := range field.FindAllStringSubmatch(body, -1) {
		v := m[2]
		if strings.HasPrefix(v, `"`) {
			if u, err := strconv.Unquote(v); err == nil {
				v = u
			}
		}
		if _, twice := has[m[1]]; !twice {
			has[m[1]] = v
		}
	}
	msg := has["msg"]
	if msg == "" || has["level"] == "" {
		return 0, "", false
	}
	if !stamped {
		when, err := time.Parse(time.RFC3339, has["time"])
		if err != nil {
			return 0, "", false
		}
		if l.start.IsZero() {
			l.start = when
		}
		at = when.Sub(l.start).Seconds()
	}
	what, _, _ = strings.Cut(msg, ": ")
	what = figure.ReplaceAllString(what, "#")
	for _, name := range []string{"peer", "reason"} {
		if v := has[name]; v != "" {
			what += ", " + name + " " + v
		}
	}
	return at, what, true
}
