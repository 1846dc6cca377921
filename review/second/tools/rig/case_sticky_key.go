//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// caseStickyKey: connections to some units come up late, so attempts wait for one. A key that the new build has answered must
// not go to the earlier build from then on.
func caseStickyKey(r *rig) (bool, error) {
	d, err := r.newDeployment(1, 8, stableState(41), func(settings object) {
		settings["rules"].(object)["drain_grace"] = 1000 * ms
		family := settings["family_info"].(object)
		family["no_return"], family["exposure_caps"], family["guarded_stages"] = true, []float64{0.14, 0.42, 1, 1}, 0
		family["decided_by"], family["to_advance"], family["to_abort"] = "by_count", 2, 2
	})
	if err != nil {
		return false, err
	}
	for _, u := range d.units {
		u.mu.Lock()
		if r.trouble {
			u.welcomeDelay = 180 * time.Millisecond
		}
		u.handle = func(a *attempt, _ net.Conn) ([]byte, bool) { // an unit may close after anything
			time.Sleep(15 * time.Millisecond)
			return append(row(u.valueFor(a.id)), ready()...), true
		}
		u.mu.Unlock()
	}
	var entries []entry
	for i := range 3 {
		u, err := d.addUnit(fmt.Sprintf("t-%02d", i), "bole", 42, 0)
		if err != nil {
			return false, err
		}
		entries = append(entries, entryOf(u, "SERVING", time.Now().Add(-20*time.Second).UnixMilli()))
	}
	d.list.set(entries...)
	d.plats[0].set(state{42, 1, "canary", 0.42, time.Now()})
	d.plats[0].tell()
	time.Sleep(time.Second)

	var mu sync.Mutex
	answered := map[string]time.Time{} // by key: when a client had the new build's answer
	var group sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for range 12 {
		first, err := r.dial(d.listens[0])
		if err != nil {
			return false, err
		}
		second, err := r.dial(d.listens[0])
		if err != nil {
			return false, err
		}
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(end) {
				key := fmt.Sprintf("%016x", rand.Uint64())
				var both sync.WaitGroup
				for i, c := range []*client{first, second} {
					both.Add(1)
					go func() {
						defer both.Done()
						time.Sleep(time.Duration(i) * 10 * time.Millisecond)
						q := c.ask("turn", key, 1500*time.Millisecond, "")
						if q.code == "ok" && strings.Contains(q.value, " by t-") {
							mu.Lock()
							if at, ok := answered[key]; !ok || q.endedAt.Before(at) {
								answered[key] = q.endedAt
							}
							mu.Unlock()
						}
					}()
				}
				both.Wait()
				time.Sleep(time.Duration(300+rand.IntN(200)) * time.Millisecond)
			}
		}()
	}
	group.Wait()
	broken := 0
	for _, a := range d.attempts() {
		if at, ok := answered[a.object]; ok && a.build == 41 && a.at.After(at.Add(50*time.Millisecond)) {
			broken++
			r.logAt(a.at, "key %s: at build 41 %.0f ms after build 42 had answered it", a.object, a.at.Sub(at).Seconds()*1000)
		}
	}
	r.say("keys answered by the new build: %d; attempts for them at the earlier build over 50 ms later: %d", len(answered), broken)
	return broken == 0, nil
}
