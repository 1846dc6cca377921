package lab

import (
	"fmt"
	"math/rand"

	"lichenroad/relay"
)

// baseline is a module that does what a plain balancer does: it sends each query to one unit, again elsewhere where that
// is harmless, and judges nothing. It keeps the rules, so that what it lacks shows as service.
type baseline struct {
	set   relay.Settings
	rng   *rand.Rand
	least bool // the unit with the least in flight; else any
	units []relay.UnitEntry
	open  map[relay.UnitID]int
	held  map[relay.QueryID]*plain
	out   []relay.Order
}

type plain struct {
	relay.Query
	legs   int
	mayRan bool
	tried  map[relay.UnitID]bool
}

const (
	plainLegs = 3    // legs of a query at most
	plainEdge = 0.03 // s before patience ends that a leg is given up: it is answered in time then
)

// Baselines lists the names that Baseline knows.
func Baselines() []string { return []string{"policy", "random", "least-in-flight"} }

// Baseline gives a module by name; none for policy, which is the real one.
func Baseline(name string) (func(relay.Settings, int64) module, error) {
	if name == "policy" {
		return nil, nil
	}
	if name != "random" && name != "least-in-flight" {
		return nil, fmt.Errorf("module %q is none of %v", name, Baselines())
	}
	return func(set relay.Settings, seed int64) module {
		return &baseline{set: set, rng: rand.New(rand.NewSource(seed)), least: name == "least-in-flight", open: map[relay.UnitID]int{},
			held: map[relay.QueryID]*plain{}}
	}, nil
}

// Step takes what happened.
func (b *baseline) Step(now relay.Seconds, events []relay.Event) []relay.Order {
	b.out = b.out[:0]
	for _, e := range events {
		switch e := e.(type) {
		case relay.Roster:
			b.list(e)
		case relay.Query:
			q := &plain{Query: e, tried: map[relay.UnitID]bool{}}
			b.held[e.ID] = q
			b.send(now, q)
		case relay.LegEnded:
			b.open[e.Unit]--
			q := b.held[e.Query]
			switch {
			case q == nil:
			case e.Over || e.How == relay.Honoured:
				delete(b.held, e.Query)
			default:
				q.mayRan = q.mayRan || !e.How.NeverRan()
				b.send(now, q)
			}
		case relay.ClientLeft:
			delete(b.held, e.Query)
		}
	}
	return b.out
}

func (b *baseline) list(r relay.Roster) {
	if r.Form == relay.RosterFailed {
		return
	}
	if r.Form != relay.RosterDelta {
		b.units = b.units[:0]
	}
next:
	for _, e := range r.Units {
		for i := range b.units {
			if b.units[i].Unit == e.Unit {
				b.units[i] = e
				continue next
			}
		}
		b.units = append(b.units, e)
	}
}

// send sends a query's next leg, or gives the query up.
func (b *baseline) send(now relay.Seconds, q *plain) {
	repeat := b.set.Categories[q.Category].Repeat
	harmless := repeat == relay.Reissuable || !q.mayRan
	wait := q.Until - now - plainEdge
	var pick *relay.UnitEntry
	seen := 0
	for i := range b.units {
		u := &b.units[i]
		if u.State != relay.Ready || q.tried[u.Unit] {
			continue
		}
		seen++
		switch {
		case pick == nil, b.least && b.open[u.Unit] < b.open[pick.Unit], !b.least && b.rng.Intn(seen) == 0:
			pick = u
		}
	}
	if pick == nil || !harmless || q.legs >= plainLegs || wait <= 0 {
		delete(b.held, q.ID)
		if harmless {
			b.out = append(b.out, relay.Deny{Query: q.ID})
		} else {
			b.out = append(b.out, relay.WriteOff{Query: q.ID})
		}
		return
	}
	q.legs++
	q.tried[pick.Unit] = true
	b.open[pick.Unit]++
	b.out = append(b.out, relay.SendLeg{Query: q.ID, Unit: pick.Unit, Wait: wait})
}
