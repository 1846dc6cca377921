//go:build review

package main

import "time"

// caseCrowdedDiscovery: discovery is crowded when the relay's watch comes to the end of its wait: for some seconds every call of
// the relay waits too long and is refused. A unit drains meanwhile. The change counts as told 6 s after discovery had it.
func caseCrowdedDiscovery(r *rig) (bool, error) {
	d, err := r.newDeployment(1, 8, stableState(41), func(settings object) {
		settings["rules"].(object)["drain_grace"] = 1000 * ms
	})
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	l := r.startLoad(d.listens[0], 12, 400*time.Millisecond, stop, retryableOnly)
	// The crowd comes shortly before the wait of the relay's watch is over, so that the call that goes on with it waits too long.
	time.Sleep(4 * time.Second)
	if left := time.Until(d.disc.lastWatchEnds()); left < time.Second {
		time.Sleep(left + time.Second) // the next one
	}
	begin := d.disc.lastWatchEnds()
	time.Sleep(time.Until(begin.Add(-300 * time.Millisecond)))
	if r.trouble {
		d.disc.crowd(440) // eleven seconds of work
	}
	time.Sleep(time.Until(begin))
	time.Sleep(time.Second)
	drained := d.units[2]
	d.list.set(entryOf(drained, "DRAINING", 0))
	told := time.Now().Add(6 * time.Second)
	time.Sleep(time.Until(begin.Add(15 * time.Second)))
	close(stop)
	l.done.Wait()
	from := told.Add(time.Second + 50*time.Millisecond)
	late, last := 0, from
	for _, a := range drained.all() {
		if a.at.After(from) {
			late++
			last = a.at
		}
	}
	r.say("attempts at %s later than 1.05 s after its drain counts as told: %d, the last %.2f s after", drained.name, late, last.Sub(told).Seconds())
	return late == 0, nil
}
