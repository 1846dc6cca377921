package policy

import (
	"math"

	"lichenroad/relay"
)

// ring sums several figures over fixed buckets of time that are used again. Its buckets are made when the
// first figure is added: most units are never met by most relays.
type slidingWindow struct {
	width            relay.Seconds
	buckets, figures int
	last             int64 // number of the newest bucket
	sums             []float32
}

func newSlidingWindow(width relay.Seconds, buckets, figures int) slidingWindow {
	return slidingWindow{width: width, buckets: buckets, figures: figures, last: -1}
}

// bucket gives the figures of one bucket by its number.
func (r *slidingWindow) bucket(n int64) []float32 {
	i := int(n%int64(r.buckets)) * r.figures
	return r.sums[i : i+r.figures]
}

// roll clears the buckets between the newest one and now, and returns the one of now.
func (r *slidingWindow) roll(now relay.Seconds) []float32 {
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

func (r *slidingWindow) add(now relay.Seconds, figure int, v float64) {
	r.roll(now)[figure] += float32(v)
}

// sum adds up the buckets that are at least from and less than to buckets old.
func (r *slidingWindow) sum(now relay.Seconds, figure, from, to int) (total float64) {
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
func (r *slidingWindow) all(now relay.Seconds, figure int) float64 {
	return r.sum(now, figure, 0, r.buckets)
}

// idle says that nothing has been added within the ring's time.
func (r *slidingWindow) idle(now relay.Seconds) bool {
	return r.sums == nil || int64(now/r.width)-r.last >= int64(r.buckets)
}

func (r *slidingWindow) reset() { r.sums, r.last = nil, -1 }

// evidence is what the unit showed in one category, or in all where c is their number, in buckets from to to,
// to this relay alone or with what others told; slowness in the youngest few of these.
func (u *trackedEndpoint) evidenceCounts(pooled bool, c, from, to int) (out outcomeCounts) {
	for i := range u.evidence {
		r := &u.evidence[i]
		if i == peerEvidence && !pooled || r.idle(u.p.now) {
			continue
		}
		r.roll(u.p.now)
		for n := from; n < to && r.last >= int64(n); n++ {
			b := r.bucket(r.last - int64(n))
			if c < len(u.p.classes) {
				b = b[c*figures : (c+1)*figures]
			}
			part := figures
			if n >= from+slownessBuckets {
				part = figPaced
			}
			for ; len(b) > 0; b = b[figures:] {
				if b[figCount] == 0 {
					continue // most units are met by hardly anybody in most buckets: no figure stands without it
				}
				for f, v := range b[:part] {
					out[f] += float64(v)
				}
			}
		}
	}
	return out
}

// fleet sums the slowness of all units, whatever their build and whoever saw it.
func (t *canary) fleetCounts() (sum outcomeCounts) {
	for _, u := range t.p.endpoints.all {
		for i := range u.evidence {
			if u.evidence[i].idle(t.p.now) {
				continue
			}
			for c := range t.p.classes {
				for _, f := range []int{figPaced, figSlow, figSquare} {
					sum[f] += u.evidence[i].sum(t.p.now, c*figures+f, 0, slownessBuckets)
				}
			}
		}
	}
	return sum
}

func (d *router) usualRatio(k relay.MachineType, depth int) float64 {
	if k < 0 || int(k) >= len(d.usualRatios) || depth >= maxQueueDepth || d.usualRatios[k][depth].samples < minRatioSamples {
		return 0
	}
	return d.usualRatios[k][depth].value
}

// mean is a running mean that forgets: at first the plain mean, later with a fixed weight for the newest.
type runningMean struct{ value, samples float64 }

func (m *runningMean) add(x, weight float64) {
	m.samples++
	m.value += max(weight, 1/m.samples) * (x - m.value)
}

// learnRatio learns from an answer how long legs take for their work.
func (d *router) learnRatio(u *trackedEndpoint, ratio float64, depth int) {
	d.fleetRatio.add(ratio, fleetRatioStep)
	if d.p.canary.ratiosFrozen() || u.MachineType < 0 || depth >= maxQueueDepth {
		return
	}
	for int(u.MachineType) >= len(d.usualRatios) {
		d.usualRatios = append(d.usualRatios, [maxQueueDepth]runningMean{})
	}
	d.usualRatios[u.MachineType][depth].add(ratio, fleetRatioStep)
}

// ended learns from the end of a leg.
func (u *trackedEndpoint) attemptEnded(n attemptOutcome) {
	if n.outcome == relay.Cancelled || n.outcome == relay.NotSent {
		return
	}
	u.lastAnswerAt, u.connected = u.p.now, n.outcome != relay.ConnectFailed
	u.p.router.connects.add(u.p.now, 0, 1)
	if !u.connected {
		u.p.router.connects.add(u.p.now, 1, 1)
	}
	ratio := n.duration / math.Max(n.work, 1e-3)
	if n.outcome == relay.Succeeded {
		u.ratio, u.ratioAt = u.latencyRatio()+ratioStep*(ratio-u.latencyRatio()), u.p.now
	}
	u.failure, u.failureAt = u.failureEstimate()+failureStep*(failureWeight(n.outcome)-u.failureEstimate()), u.p.now
	u.p.router.objectiveUsage.add(n.duration/math.Max(n.objective, 1e-3), objectiveUsageStep)
	if n.attempt.build == u.Build {
		s := u.observationOf(n)
		u.learn(s, ownEvidence)
		u.p.canary.unreported = append(u.p.canary.unreported, s)
	}
}

// warmth is the least part of its capacity that the unit can have by now.
func (u *trackedEndpoint) capacityFraction() float64 {
	r := &u.p.settings.Rules
	age := u.p.now - u.startTime
	if age >= r.SlowStartTime {
		return 1
	}
	return r.SlowStartFloor + (1-r.SlowStartFloor)*math.Max(age, 0)/r.SlowStartTime
}

// work is the query's expected work; without a hint, the due time stands in as a common yardstick.
func (q *trackedRequest) expectedWork() relay.Seconds {
	if q.HasWork && q.Work > 0 {
		return q.Work
	}
	return math.Max(q.class.objective, 1e-3)
}

func (u *trackedEndpoint) onNewestBuild() bool { return u.Build >= u.p.canary.status.Build }

// record adds a leg to what the unit showed, to this relay or by what others told.
func (u *trackedEndpoint) recordEvidence(s observation, by int, usual float64) {
	t, now, at := &u.p.canary, u.p.now, int(s.class)*figures
	seen := &u.evidence[by]
	seen.add(now, at+figCount, 1)
	if by == ownEvidence && s.newest {
		t.newestAttempts.add(now, int(s.class), 1)
	}
	if s.outcome == relay.Errored || s.outcome == relay.ConnectionBroken {
		seen.add(now, at+figFailed, 1)
	} else if s.late && !s.young {
		seen.add(now, at+figLate, 1)
	}
	if s.young || usual <= 0 || s.ratio <= 0 {
		return
	}
	slow := math.Log(s.ratio / usual)
	seen.add(now, at+figPaced, 1)
	seen.add(now, at+figSlow, slow)
	seen.add(now, at+figSquare, slow*slow)
	if !s.newest {
		t.earlierRatio.add(slow, fleetRatioStep)
		t.earlierRatioAt = now
	} else if t.earlierRatio.samples >= minRatioSamples && now-t.earlierRatioAt < earlierRatioLife {
		seen.add(now, at+figMatched, 1)
		seen.add(now, at+figOver, slow-t.earlierRatio.value)
		seen.add(now, at+figOverSquare, (slow-t.earlierRatio.value)*(slow-t.earlierRatio.value))
	}
}

// draw is a random choice in proportion to what each unit is able to do.
func (d *router) weightedChoice(pool []*trackedEndpoint) *trackedEndpoint {
	total := 0.0
	for _, u := range pool {
		total += u.weight()
	}
	total *= d.p.random.Float64()
	for _, u := range pool {
		if total -= u.weight(); total < 0 {
			return u
		}
	}
	return pool[len(pool)-1]
}

// power is what the unit is able to do: its size, by how quick its kind is and how far it has warmed up.
func (u *trackedEndpoint) weight() float64 {
	w := u.capacityFraction()
	if u.Weight > 0 {
		w *= u.Weight
	}
	if k := u.p.router.machineTypeRatio(u.MachineType); k.samples >= minRatioSamples {
		w /= k.value
	}
	return w
}

// kind is the pace of one kind of machine over all relays' legs.
func (d *router) machineTypeRatio(k relay.MachineType) *runningMean {
	i := min(max(int(k), 0), maxMachineTypes-1)
	for i >= len(d.machineTypeRatios) {
		d.machineTypeRatios = append(d.machineTypeRatios, runningMean{})
	}
	return &d.machineTypeRatios[i]
}

func (u *trackedEndpoint) failureEstimate() float64 {
	return u.failure * math.Exp2(-(u.p.now-u.failureAt)/failureHalfLife)
}

func (u *trackedEndpoint) latencyRatio() float64 {
	usual := math.Max(u.p.router.fleetRatio.value, 1e-3)
	if u.ratio == 0 {
		return usual
	}
	return usual + (u.ratio-usual)*math.Exp2(-(u.p.now-u.ratioAt)/ratioHalfLife)
}

// slower says whether legs took some times longer, by the mean of a logarithm and its standard error.
func significantlySlower(m, err, times float64) bool {
	return m > math.Log(times) && m > flagStandardErrors*err
}

func shareWorse(newer, before outcomeCounts, f int, points, outcomes float64, pooled bool) bool {
	n1, n0 := newer[figCount], before[figCount]
	if n1 < minOutcomes || n0 < minOutcomes {
		return false
	}
	p1, p0 := newer[f]/n1, before[f]/n0
	err := math.Sqrt(p1*(1-p1)/n1 + p0*(1-p0)/n0)
	if pooled {
		p := (newer[f] + before[f]) / (n1 + n0)
		err = math.Sqrt(p * (1 - p) * (1/n1 + 1/n0))
	}
	return p1-p0 >= points && p1-p0 > flagStandardErrors*err && newer[f]-p0*n1 > outcomes
}

// warm counts the ready units: the warm ones, those on trial as far as the cap lets them be used, and all.
func (r *endpointList) countReady() (warm, all float64) {
	for _, u := range r.all {
		if u.State != relay.Ready {
			continue
		}
		all++
		if cap, _, _ := r.p.canary.exposureLimit(u.Build); u.capacityFraction() >= 1 {
			warm += cap
		}
	}
	return warm, all
}

// eldest is the age of the newest build's oldest machine.
func (t *canary) oldestAge() (age relay.Seconds) {
	for _, u := range t.p.endpoints.all {
		if u.onNewestBuild() && u.State == relay.Ready {
			age = math.Max(age, t.p.now-u.startTime)
		}
	}
	return age
}
