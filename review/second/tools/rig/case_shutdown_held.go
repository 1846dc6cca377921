//go:build review

package main

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// caseShutdownHeld: units hang through a planned restart, and the relay is held up for under 0.15 s before it would end. Clients
// send a second request behind the first one, on connections that stay open after SIGTERM.
func caseShutdownHeld(r *rig) (bool, error) {
	d, err := r.newDeployment(1, 6, stableState(41), func(settings object) {
		for _, class := range settings["grades"].([]object) {
			if class["deadline"].(int64) > 2500*ms {
				class["deadline"] = 2500 * ms
			}
		}
	})
	if err != nil {
		return false, err
	}
	for _, u := range d.units {
		u.handle = func(*attempt, net.Conn) ([]byte, bool) { time.Sleep(10 * time.Second); return nil, true }
	}
	n := 20
	var clients []*client
	for range n {
		c, err := r.dial(d.listens[0])
		if err != nil {
			return false, err
		}
		clients = append(clients, c)
	}
	first, second := make([]*request, n), make([]*request, n)
	for i, c := range clients {
		first[i] = &request{id: newID(), class: "turn", object: newID(), deadline: time.Second, code: "none"}
		c.send(first[i], "")
	}
	time.Sleep(100 * time.Millisecond)
	relay := d.relays[0]
	relay.signal(syscall.SIGTERM)
	term := time.Now()
	r.log("SIGTERM")
	time.Sleep(800 * time.Millisecond)
	for i, c := range clients {
		second[i] = &request{id: newID(), class: "turn", object: newID(), deadline: 2500 * time.Millisecond, code: "none"}
		c.send(second[i], "")
	}
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.receive(first[i])
			c.receive(second[i])
		}()
	}
	// With deadlines of up to 2.5 s SIGKILL comes no sooner than 3.2 s after SIGTERM.
	const from, held, kill = 3025 * time.Millisecond, 145 * time.Millisecond, 3200 * time.Millisecond
	time.Sleep(time.Until(term.Add(from - 20*time.Millisecond)))
	lockThread()
	spin(term.Add(from))
	if r.trouble {
		stopped := time.Now()
		relay.signal(syscall.SIGSTOP)
		spin(stopped.Add(held))
		relay.signal(syscall.SIGCONT)
		heldFor := time.Since(stopped)
		r.log("the relay was held up for %v, to %.3f s after SIGTERM", heldFor, time.Since(term).Seconds())
		if heldFor > longestHoldUp || stopped.After(term.Add(from+10*time.Millisecond)) {
			return false, errors.New("this machine did not keep the times of the hold-up")
		}
	}
	time.Sleep(time.Until(term.Add(kill)))
	r.log("SIGKILL; the relay had ended by itself: %v", relay.ended())
	relay.kill()
	wg.Wait()
	lost := 0
	for i := range n {
		for _, q := range []*request{first[i], second[i]} {
			if q.code == "closed" || q.code == "none" {
				lost++
			}
		}
	}
	r.say("requests sent before and 0.8 s after SIGTERM: %d each; never answered: %d", n, lost)
	return lost == 0, nil
}
