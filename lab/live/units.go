package live

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"lichenroad/lab"
	"lichenroad/relay"
)

// forgetAfter is how long the book knows a query: longer than any patience and repeat window.
const forgetAfter = 15 * time.Second

// book is what all stand-in planners know of queries: how many of their legs still have to fail, and which have run. It
// watches rule 2 from outside: what may have an effect once must not run twice.
type book struct {
	mu    sync.Mutex
	terms []lab.Term
	runs  map[string]*ran
	old   []*ran // in the order in which they came
	legs  int
	cross int // of them, those from a relay of the other site
	twice []string
}

type ran struct {
	id       string
	at       time.Time
	fails    int
	finished int // runs that were begun and not failed: each has its effect
}

func newBook() *book { return &book{terms: lab.Terms(), runs: map[string]*ran{}} }

// leg is a statement that a planner of a site begins: how long it takes and whether it fails.
func (b *book) leg(statement string, site int, now time.Time) (time.Duration, bool) {
	note := fields(statement)
	work, err := strconv.ParseInt(note["h"], 10, 64)
	if err != nil {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.old) > 0 && now.Sub(b.old[0].at) > forgetAfter {
		delete(b.runs, b.old[0].id)
		b.old = b.old[1:]
	}
	b.legs++
	if no, err := strconv.ParseUint(note["id"], 16, 64); err == nil && int(no>>relayBits)%len(sites) != site {
		b.cross++
	}
	r := b.runs[note["id"]]
	if r == nil {
		r = &ran{id: note["id"], at: now}
		r.fails, _ = strconv.Atoi(note["oid"])
		b.runs[r.id] = r
		b.old = append(b.old, r)
	}
	fails := r.fails > 0
	r.fails--
	r.finished++
	if r.finished > 1 && b.once(note["c"]) {
		b.twice = append(b.twice, r.id)
	}
	return time.Duration(work) * time.Microsecond, fails
}

func (b *book) once(category string) bool {
	for _, t := range b.terms {
		if t.Name == category {
			return t.Repeat == relay.AtMostOnce
		}
	}
	return false
}

// fields gives what a statement says: the values of its comment, and the failures that its object names as oid.
func fields(statement string) map[string]string {
	out := map[string]string{}
	if _, rest, ok := strings.Cut(statement, "'f"); ok {
		out["oid"], _, _ = strings.Cut(rest, "-")
	}
	_, note, _ := strings.Cut(statement, "/* ")
	for _, one := range strings.Split(strings.TrimSuffix(note, " */"), ",") {
		if name, value, ok := strings.Cut(one, "="); ok {
			out[name] = value
		}
	}
	return out
}
