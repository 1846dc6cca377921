package scale

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// The target's failures, and how long they last.
const (
	targetRelays    = 4300.0
	killsPerDay     = 59.0   // machines of the target that fail in a day
	restartsPerDay  = 3500.0 // and that are restarted or replaced
	secondsPerDay   = 86400.0
	timesHundred    = 100.0
	killedFor       = 10.0 // s until a relay that failed is replaced
	restartedFor    = 1.0  // s of a restart
	outageFrom      = 0.3  // part of a run at which a rack, a zone, a region or the fusers are lost
	outageTo        = 0.7  // and at which they are back
	longestOutage   = 180.0
	fusersLostAfter = 0.4
)

// outage is the time in which something is lost.
func (o *Options) outage() (from, to float64) {
	from = outageFrom * o.Seconds
	return from, math.Min(outageTo*o.Seconds, from+longestOutage)
}

// faultCounts are what the faults did to machines.
type faultCounts struct {
	Kills     int `json:"relays_killed"`
	Restarts  int `json:"relays_restarted"`
	UnitsLost int `json:"units_lost"`
}

// faultEvent is something that goes wrong at a time, or is mended.
type faultEvent struct {
	at float64
	do func(w *world, now float64)
}

// schedule lists what goes wrong in a run, in order of time.
func schedule(o *Options, relays int) []faultEvent {
	var out []faultEvent
	random := seeded(o.Seed, "faults", 0)
	scale := float64(relays) / targetRelays / secondsPerDay
	poisson := func(perDay float64, strike func(w *world, now float64, random *rand.Rand)) {
		for at := random.ExpFloat64() / (perDay * scale); at < o.Seconds; at += random.ExpFloat64() / (perDay * scale) {
			out = append(out, faultEvent{at, func(w *world, now float64) { strike(w, now, random) }})
		}
	}
	kill := func(w *world, now float64, random *rand.Rand) { w.kill(now, w.anyRelay(random), killedFor) }
	restart := func(w *world, now float64, random *rand.Rand) { w.restart(now, w.anyRelay(random)) }
	from, to := o.outage()
	for _, f := range o.Faults {
		switch f {
		case RelayKills:
			poisson(killsPerDay, kill)
		case RelayKillsX100:
			poisson(killsPerDay*timesHundred, kill)
		case Restarts:
			poisson(restartsPerDay, restart)
		case RestartsX100:
			poisson(restartsPerDay*timesHundred, restart)
		case RackLoss:
			out = append(out, faultEvent{from, func(w *world, now float64) {
				w.lose(now, to-from, func(p place) bool { return p.zone == 0 && p.rack == 0 })
			}})
		case ZoneLoss:
			out = append(out, faultEvent{from, func(w *world, now float64) {
				w.lose(now, to-from, func(p place) bool { return p.zone == 0 })
			}})
		case RegionSplit:
			out = append(out, faultEvent{from, func(w *world, now float64) { w.cut(now, true) }},
				faultEvent{to, func(w *world, now float64) { w.cut(now, false) }})
		case OneWay:
			out = append(out, faultEvent{from, func(w *world, _ float64) { w.network.oneWay = true }},
				faultEvent{to, func(w *world, _ float64) { w.network.oneWay = false }})
		case AllFusersKilled:
			out = append(out, faultEvent{fusersLostAfter * o.Seconds, func(w *world, now float64) { w.killFusers(now) }})
		}
	}
	slices.SortStableFunc(out, func(a, b faultEvent) int {
		return cmp.Compare(a.at, b.at)
	})
	return out
}

// anyRelay draws one relay of the played services.
func (w *world) anyRelay(random *rand.Rand) *identity { return w.relays[random.Intn(len(w.relays))] }

// kill ends a relay without a word, and has another take its place after a time.
func (w *world) kill(now float64, r *identity, downFor float64) {
	if !r.alive {
		return
	}
	w.faultCounts.Kills++
	w.stop(now, r, downFor)
}

// restart ends a relay in order, and starts it again.
func (w *world) restart(now float64, r *identity) {
	if !r.alive {
		return
	}
	w.faultCounts.Restarts++
	w.stop(now, r, restartedFor)
}

func (w *world) stop(now float64, r *identity, downFor float64) {
	r.alive, r.downSince = false, now
	if h := w.hollows[r.index]; h != nil {
		h.stop()
	}
	w.later(now+downFor, func(now float64) {
		r.alive = true
		if h := w.hollows[r.index]; h != nil {
			h.start(now)
		}
	})
}

// lose takes every machine of some places away for a time. Its units are replaced by others, not given back.
func (w *world) lose(now, downFor float64, at func(place) bool) {
	for _, r := range w.relays {
		if at(r.place) {
			w.kill(now, r, downFor)
		}
	}
	for _, s := range w.services {
		lost := 0
		for _, u := range s.units {
			if at(u.place) && u.runs(now) {
				s.die(now, u)
				lost++
				w.replaceLater(s, u, now+downFor)
			}
		}
		w.faultCounts.UnitsLost += lost
	}
}

func (w *world) replaceLater(s *service, u *unit, at float64) {
	w.later(at, func(now float64) {
		if _, known := s.platform.defects[u.build]; known && u.build >= s.platform.news.Build-1 {
			s.add(now, newUnit(fmt.Sprintf("%s-again-%.0f", u.name, now), u.place, u.kind, u.build, now))
		}
	})
}

// cut parts the last region from the others, or heals the cut.
func (w *world) cut(now float64, cut bool) {
	w.network.split = cut
	if cut {
		w.cutFrom, w.cutTo = now, never
	} else {
		w.cutTo = now
	}
}

// killFusers ends every relay that fuses, in all services at once.
func (w *world) killFusers(now float64) {
	for _, s := range w.services {
		for _, r := range s.relays[:min(fuserNumbers, len(s.relays))] {
			w.kill(now, r, killedFor)
		}
	}
}
