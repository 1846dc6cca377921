package policy

import "lichenroad/relay"

// What the parts hold and tell each other. Nothing here decides.

type (
	note any // what one part tells another

	// actor is a part with an inbox.
	actor interface{ take(n note) }

	letter struct {
		to   actor
		body note
	}
)

// post puts a note into an actor's inbox. The inboxes are kept as one queue, in the order of posting.
func (p *Policy) post(to actor, n note) { p.mail = append(p.mail, letter{to, n}) }

// drain is the one loop that empties the inboxes.
func (p *Policy) drain() {
	for i := 0; i < len(p.mail); i++ {
		p.mail[i].to.take(p.mail[i].body)
	}
	p.mail = p.mail[:0]
}

func (p *Policy) do(o relay.Order) { p.out = append(p.out, o) }

// Notes.
type (
	noteTick    struct{}
	noteSent    struct{}
	noteOverdue struct{} // a leg is still out past its query's due time
	noteOutcome struct {
		category relay.Category
		leg      leg
		how      relay.Outcome
		took     relay.Seconds
		work     relay.Seconds // expected, of the query
		due      relay.Seconds // time allowed
	}
	noteMemo struct {
		from relay.RelayNo
		memo memo
	}
)

// leg is one try of a query at a unit. Zone, cell, build and age are the unit's when it was sent.
type leg struct {
	unit   *unit
	zone   relay.Zone
	cell   relay.Cell
	build  relay.Build
	at     relay.Seconds
	age    relay.Seconds
	open   bool
	mayRan bool // it is out, or ended without proof that it never ran
	alone  bool // the unit held at most one other leg of this relay when it was sent: no queue of ours
}

// query is one query that this relay has taken.
type query struct {
	relay.Query
	row     *row
	at      relay.Seconds
	due     relay.Seconds
	legs    []leg
	over    bool // has its final answer, or needs none
	overdue bool // was open past its due time
	stream  bool // the client owns a leg: nothing more to decide
}

func (q *query) out() (n int) {
	for i := range q.legs {
		if q.legs[i].open {
			n++
		}
	}
	return n
}

func (q *query) mayHaveRun() bool {
	for i := range q.legs {
		if q.legs[i].mayRan {
			return true
		}
	}
	return false
}

func (q *query) tried(u *unit) bool {
	for i := range q.legs {
		if q.legs[i].unit == u {
			return true
		}
	}
	return false
}

// exposure is what a relay may still send to one build on trial, by category where the rule counts so.
type exposure struct {
	build relay.Build
	cap   float64
	hard  []float64 // legs that the rule leaves
	soft  []float64 // legs that the design's share of the cap leaves
}

func (x *exposure) slot(c relay.Category) int { return min(int(c), len(x.hard)-1) }

// heard is the last memo of one relay.
type heard struct {
	memo
	at  relay.Seconds
	has bool
}

// counts are outcomes of one build in one category: all, failed and late ones; those that were alone, and
// of these the slow ones.
type counts [figures]float64

const (
	figCount = iota
	figFailed
	figLate
	figAlone
	figSlow
	figures
)

// of gives the count that a figure is a share of.
func (c *counts) of(figure int) float64 {
	if figure == figSlow {
		return c[figAlone]
	}
	return c[figCount]
}

func (c *counts) add(o counts) {
	for i := range c {
		c[i] += o[i]
	}
}
