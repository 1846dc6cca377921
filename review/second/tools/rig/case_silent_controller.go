//go:build review

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// caseSilentController: the release controller stands still for some seconds while a relay that follows its plan is restarted.
// The relay has no word on the build on trial, which then counts as in its first step.
func caseSilentController(r *rig) (bool, error) {
	const oldBuild, newBuild = 40, 41
	plan, state := filepath.Join(r.dir, "plan.xml"), filepath.Join(r.dir, "state")
	watch, vote := freeAddress(), freeAddress()
	text := strings.Replace(planText(watch, vote, []string{"pilot", "half", "both"}), `control="clock"`, `control="share"`, 1)
	text = strings.Replace(text, `share="0.33" cap="0.33" least="1s"`, `share="0.2" cap="0.10" least="60s"`, 1)
	if err := os.WriteFile(plan, []byte(text), 0o644); err != nil {
		return false, err
	}
	controller, err := r.startProcess("controller", "exec bin/lichenroad controller run --plan "+plan+" --state "+state)
	if err != nil {
		return false, err
	}
	offered := waitFor(10*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		out, err := exec.Command("bin/lichenroad", "controller", "offer", "planner", fmt.Sprint(newBuild), "--who", "test", "--why", "x", "--state", state).CombinedOutput()
		r.log("operator: offer -> %v\n%s", err, out)
		return err == nil
	})
	if !offered {
		return false, fmt.Errorf("the controller did not take the offer: %s", controller.logTail(3))
	}

	f, err := r.newFleet(8, oldBuild)
	if err != nil {
		return false, err
	}
	var entries []entry
	for i := range 2 {
		u, err := f.addUnit(fmt.Sprintf("t-%02d", i), "bole", newBuild, 0)
		if err != nil {
			return false, err
		}
		u.zone = "bole"
		entries = append(entries, entryOf(u, "SERVING", time.Now().Add(-20*time.Second).UnixMilli()))
	}
	f.list.set(entries...)
	disc, err := r.newDiscovery("a", f.list)
	if err != nil {
		return false, err
	}
	listen := freeAddress()
	config := relayConfig(listen, disc.address(), vote, nil)
	delete(config["platform"].(object), "news")
	settings := config["settings"].(object)
	settings["replicas_of_me"] = 1
	settings["family_info"].(object)["exposure_caps"] = []float64{0.1, 0.67, 1}
	settings["family_info"].(object)["waves"] = []float64{0.2, 0.67, 1}
	start := func() (*process, error) {
		path := filepath.Join(r.dir, "n0.json")
		if err := writeConfig(path, config); err != nil {
			return nil, err
		}
		p, err := r.startProcess("n0", runLine()+" --plan "+plan+" --service planner", "BALANCER_CONFIG="+path)
		if err != nil {
			return nil, err
		}
		return p, r.serveUp(listen, p)
	}
	relay, err := start()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	l := r.startLoad(listen, 24, 400*time.Millisecond, stop, retryableOnly)
	time.Sleep(5 * time.Second)
	if r.trouble {
		controller.signal(syscall.SIGSTOP)
		r.log("the controller stands still")
		time.AfterFunc(10*time.Second, func() {
			controller.signal(syscall.SIGCONT)
			r.log("the controller goes on")
		})
	}
	time.Sleep(time.Second)
	relay.signal(syscall.SIGTERM)
	<-relay.done
	restarted := time.Now()
	r.log("the relay has ended, and starts again")
	if _, err := start(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	close(stop)
	l.done.Wait()

	worst, count, least := 0.0, 0, 0.0
	attempts, requests := f.attempts(), l.requests()
	for _, first := range attempts {
		if first.build != newBuild || first.at.Before(restarted) {
			continue
		}
		to := first.at.Add(2 * time.Second)
		n, asked := 0, 0
		for _, a := range attempts {
			if a.build == newBuild && !a.at.Before(first.at) && a.at.Before(to) {
				n++
			}
		}
		for _, q := range requests {
			if q.sentAt.After(first.at.Add(-50*time.Millisecond)) && q.sentAt.Before(to) {
				asked++
			}
		}
		allowed := 1 + 2 + (0.10+0.04)*float64(asked)
		if over := float64(n) - allowed; over > worst || count == 0 {
			worst, count, least = over, n, allowed
		}
	}
	r.say("after the restart: at most %d attempts at build %d in 2 s, where %.1f pass", count, newBuild, least)
	return float64(count) <= least, nil
}
