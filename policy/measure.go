package policy

import (
	"math"

	"lichenroad/relay"
)

// ring sums several figures over fixed buckets of time that are used again. Its buckets are made when the
// first figure is added: most units are never met by most relays.
type ring struct {
	width            relay.Seconds
	buckets, figures int
	last             int64 // number of the newest bucket
	sums             []float32
}

func newRing(width relay.Seconds, buckets, figures int) ring {
	return ring{width: width, buckets: buckets, figures: figures, last: -1}
}

// bucket gives the figures of one bucket by its number.
func (r *ring) bucket(n int64) []float32 {
	i := int(n%int64(r.buckets)) * r.figures
	return r.sums[i : i+r.figures]
}

// roll clears the buckets between the newest one and now, and returns the one of now.
func (r *ring) roll(now relay.Seconds) []float32 {
	if r.sums == nil {
		r.sums = make([]float32, r.buckets*r.figures)
	}
	n := max(int64(now/r.width), r.last, 0)
	for i := max(r.last+1, n-int64(r.buckets)+1); i <= n; i++ {
		clear(r.bucket(i))
	}
	r.last = n
	return r.bucket(n)
}

func (r *ring) add(now relay.Seconds, figure int, v float64) { r.roll(now)[figure] += float32(v) }

// sum adds up the buckets that are at least from and less than to buckets old.
func (r *ring) sum(now relay.Seconds, figure, from, to int) (total float64) {
	if r.sums == nil {
		return 0
	}
	r.roll(now)
	for i := from; i < min(to, r.buckets); i++ {
		if n := r.last - int64(i); n >= 0 {
			total += float64(r.bucket(n)[figure])
		}
	}
	return total
}

// all adds up every bucket.
func (r *ring) all(now relay.Seconds, figure int) float64 { return r.sum(now, figure, 0, r.buckets) }

// idle says that nothing has been added within the ring's time.
func (r *ring) idle(now relay.Seconds) bool {
	return r.sums == nil || int64(now/r.width)-r.last >= int64(r.buckets)
}

func (r *ring) reset() { r.sums, r.last = nil, -1 }

// evidence is what the unit showed in one category in buckets from to to, to this relay alone or with what
// others told; lateness, and the counts that it is a share of, in the youngest few of these.
func (u *unit) evidence(pooled bool, c, from, to int) (out counts) {
	for i := range u.seen {
		r := &u.seen[i]
		if i == told && !pooled || r.idle(u.p.now) {
			continue
		}
		r.roll(u.p.now)
		for n := from; n < to && r.last >= int64(n); n++ {
			b := r.bucket(r.last - int64(n))[c*figures : (c+1)*figures]
			if n >= from+lateBuckets {
				b = b[:figAlone]
			}
			for f, v := range b {
				out[f] += float64(v)
			}
		}
	}
	return out
}

// fleet sums the lateness of all units, whatever their build and whoever saw it.
func (t *trial) fleet() (sum counts) {
	for _, u := range t.p.roster.units {
		for i := range u.seen {
			if u.seen[i].idle(t.p.now) {
				continue
			}
			for c := range t.p.rows {
				for _, f := range []int{figPaced, figSlow, figSquare} {
					sum[f] += u.seen[i].sum(t.p.now, c*figures+f, 0, lateBuckets)
				}
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
