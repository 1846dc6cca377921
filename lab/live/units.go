package live

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"lichenroad/internal/pgwire"
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
	id    string
	at    time.Time
	fails int // legs that still have to fail
	legs  int // that began, failed ones too: each may have had its effect
}

func newBook() *book { return &book{terms: lab.Terms(), runs: map[string]*ran{}} }

// leg is a statement that a planner of a site begins: how long it takes and whether it fails.
func (b *book) leg(statement string, site int, now time.Time) (time.Duration, bool) {
	q, err := pgwire.ParseQuery([]byte(statement))
	if err != nil || !q.HasWork {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.old) > 0 && now.Sub(b.old[0].at) > forgetAfter {
		delete(b.runs, b.old[0].id)
		b.old = b.old[1:]
	}
	b.legs++
	if no, err := strconv.ParseUint(q.ID, 16, 64); err == nil && int(no>>relayBits)%len(sites) != site {
		b.cross++
	}
	r := b.runs[q.ID]
	if r == nil {
		r = &ran{id: q.ID, at: now}
		fmt.Sscanf(q.Object, "f%d-", &r.fails)
		b.runs[r.id] = r
		b.old = append(b.old, r)
	}
	fails := r.fails > 0
	r.fails--
	r.legs++
	if r.legs > 1 && b.once(q.Class) {
		b.twice = append(b.twice, r.id)
	}
	return time.Duration(q.WorkMicros) * time.Microsecond, fails
}

func (b *book) once(category string) bool {
	for _, t := range b.terms {
		if t.Name == category {
			return t.Repeat == relay.AtMostOnce
		}
	}
	return false
}
