//go:build review

package main

import "time"

// caseMovedDiscovery: a new configuration moves discovery to an address that is crowded: it works through
// calls in turn and refuses those that have waited for 2 s. A unit begins to drain 2 s after SIGHUP. That counts as told 4 s after SIGHUP.
func caseMovedDiscovery(r *rig) (bool, error) {
	d, err := r.newDeployment(3, 8, stableState(41), nil)
	if err != nil {
		return false, err
	}
	b, err := r.newDiscovery("b", d.list)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var loads []*load
	for _, listen := range d.listens {
		loads = append(loads, r.startLoad(listen, 8, 400*time.Millisecond, stop, retryableOnly))
	}
	time.Sleep(4 * time.Second)

	if r.trouble {
		b.crowd(280) // seven seconds of work
	}
	if err := d.reload(func(config object) { config["discovery"] = b.address() }); err != nil {
		return false, err
	}
	hangup := time.Now()
	d.disc.stopAccepting()
	time.Sleep(time.Until(hangup.Add(1500 * time.Millisecond)))
	d.disc.close()
	time.Sleep(time.Until(hangup.Add(2 * time.Second)))
	drained := d.units[2]
	d.list.set(entryOf(drained, "DRAINING", 0))
	time.Sleep(time.Until(hangup.Add(11 * time.Second)))
	close(stop)
	for _, l := range loads {
		l.done.Wait()
	}

	// Told 4 s after SIGHUP; 250 ms of grace and 50 ms of the sockets' slack.
	from := hangup.Add(4*time.Second + 250*time.Millisecond + 50*time.Millisecond)
	late := 0
	last := from
	for _, a := range drained.all() {
		if a.at.After(from) {
			late++
			last = a.at
		}
	}
	r.say("attempts at %s later than 4.3 s after SIGHUP: %d, the last %.2f s after SIGHUP", drained.name, late, last.Sub(hangup).Seconds())
	return late == 0, nil
}
