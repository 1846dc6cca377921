package policy

import (
	"math"

	"lichenroad/relay"
)

// ring sums several figures over fixed buckets of time that are used again.
type ring struct {
	width relay.Seconds
	last  int64 // number of the newest bucket
	sums  [][]float64
}

func newRing(width relay.Seconds, buckets, figures int) ring {
	r := ring{width: width, last: -1, sums: make([][]float64, buckets)}
	for i := range r.sums {
		r.sums[i] = make([]float64, figures)
	}
	return r
}

// roll clears the buckets between the newest one and now, and returns the one of now.
func (r *ring) roll(now relay.Seconds) []float64 {
	n := max(int64(now/r.width), r.last, 0)
	for i := max(r.last+1, n-int64(len(r.sums))+1); i <= n; i++ {
		clear(r.sums[i%int64(len(r.sums))])
	}
	r.last = n
	return r.sums[n%int64(len(r.sums))]
}

func (r *ring) add(now relay.Seconds, figure int, v float64) { r.roll(now)[figure] += v }

// sum adds up the buckets that are at least from and less than to buckets old.
func (r *ring) sum(now relay.Seconds, figure, from, to int) (total float64) {
	r.roll(now)
	for i := from; i < min(to, len(r.sums)); i++ {
		if n := r.last - int64(i); n >= 0 {
			total += r.sums[n%int64(len(r.sums))][figure]
		}
	}
	return total
}

// all adds up every bucket.
func (r *ring) all(now relay.Seconds, figure int) float64 { return r.sum(now, figure, 0, len(r.sums)) }

func (r *ring) reset() {
	for _, b := range r.sums {
		clear(b)
	}
}

// evidence is what the unit showed in one category in buckets from to to; lateness, and the counts that it is
// a share of, in the youngest few of these.
func (u *unit) evidence(c, from, to int) (out counts) {
	for f := range out {
		if f == figAlone {
			to = min(to, from+lateBuckets)
		}
		out[f] = u.seen.sum(u.p.now, c*figures+f, from, to)
	}
	return out
}

// fleet sums the lateness of all units, whatever their build.
func (t *trial) fleet() (sum counts) {
	for _, u := range t.p.roster.units {
		for c := range t.p.rows {
			for _, f := range []int{figPaced, figSlow} {
				sum[f] += u.seen.sum(t.p.now, c*figures+f, 0, lateBuckets)
			}
		}
	}
	sum[figCount] = sum[figPaced]
	return sum
}

func (d *desk) usualPace(k relay.Kind, depth int) float64 {
	if k < 0 || int(k) >= len(d.paces) || depth >= depths || d.paces[k][depth].n < leastPace {
		return 0
	}
	return d.paces[k][depth].v
}

// mean is a running mean that forgets: at first the plain mean, later with a fixed weight for the newest.
type mean struct{ v, n float64 }

func (m *mean) add(x, weight float64) {
	m.n++
	m.v += max(weight, 1/m.n) * (x - m.v)
}

// learnPace learns from an answer how long legs take for their work.
func (d *desk) learnPace(u *unit, ratio float64, depth int) {
	d.pace.add(ratio, paceFleet)
	if d.p.trial.steady() || u.Kind < 0 || depth >= depths {
		return
	}
	for int(u.Kind) >= len(d.paces) {
		d.paces = append(d.paces, [depths]mean{})
	}
	d.paces[u.Kind][depth].add(ratio, paceFleet)
}

// warmth is the least part of its capacity that the unit can have by now.
func (u *unit) warmth() float64 {
	r := &u.p.set.Rules
	age := u.p.now - u.started
	if age >= r.WarmUp {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*math.Max(age, 0)/r.WarmUp
}

// work is the query's expected work; without a hint, the due time stands in as a common yardstick.
func (q *query) work() relay.Seconds {
	if q.HasWork && q.Work > 0 {
		return q.Work
	}
	return math.Max(q.row.due, 1e-3)
}
