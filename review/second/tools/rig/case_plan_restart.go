//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// planText is a plan of one service whose steps last a second each.
func planText(watch, relay string, steps []string) string {
	text := `<?xml version="1.0" encoding="UTF-8"?>
<plan version="1" clock-skew="0s" news-life="10s">
  <site name="bole"/>
  <group name="all"><customer name="acme"/></group>
  <service name="planner" watch="` + watch + `" back-for="2s" settle="1s">
    <votes control="clock" on="0.5" back="0.15" life="10s" per-second="100" step-time="1s"/>
`
	for i, name := range steps {
		open := ""
		if i == 0 {
			open = `<open site="bole" group="all"/>`
		}
		part := float64(i+1) / float64(len(steps))
		text += fmt.Sprintf("    <step name=%q share=\"%.2f\" cap=\"%.2f\" least=\"1s\">%s</step>\n", name, part, part, open)
	}
	return text + `    <relay name="n0" site="bole" listen="` + relay + `"/>
  </service>
</plan>
`
}

// casePlanRestart: a plan with one step more takes effect with SIGHUP between two builds. The next build is offered and
// accepted. Then the controller is killed and started again: it has to go on with what it accepted.
func casePlanRestart(r *rig) (bool, error) {
	plan, state := filepath.Join(r.dir, "plan.xml"), filepath.Join(r.dir, "state")
	watch, relay := freeAddress(), freeAddress()
	write := func(steps ...string) error {
		if err := os.WriteFile(plan+".next", []byte(planText(watch, relay, steps)), 0o644); err != nil {
			return err
		}
		return os.Rename(plan+".next", plan)
	}
	// operate runs a command of an operator.
	operate := func(arguments ...string) (string, error) {
		out, err := exec.Command("bin/lichenroad", append(append([]string{"controller"}, arguments...), "--state", state)...).CombinedOutput()
		text := strings.TrimSpace(string(out))
		r.log("operator: %s -> %v\n%s", strings.Join(arguments, " "), err, text)
		return text, err
	}
	start := func() (*process, error) {
		return r.startProcess("controller", "exec bin/lichenroad controller run --plan "+plan+" --state "+state)
	}
	answers := func(limit time.Duration, want ...string) bool {
		return waitFor(limit, func() bool {
			time.Sleep(200 * time.Millisecond)
			text, err := operate("status")
			for _, part := range want {
				if err != nil || !strings.Contains(text, part) {
					return false
				}
			}
			return true
		})
	}
	if err := write("pilot", "both"); err != nil {
		return false, err
	}
	controller, err := start()
	if err != nil {
		return false, err
	}
	if !answers(10*time.Second, "planner") {
		return false, errors.New("the controller did not start: " + controller.logTail(3))
	}
	if _, err := operate("offer", "planner", "41", "--who", "test", "--why", "first"); err != nil {
		return false, err
	}
	if !answers(20*time.Second, "41", "released") {
		return false, errors.New("build 41 was not released")
	}
	if err := write("pilot", "half", "both"); err != nil {
		return false, err
	}
	controller.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	if !strings.Contains(controller.logTail(5), "plan reloaded") {
		return false, errors.New("the controller did not take the new plan: " + controller.logTail(3))
	}
	r.log("the new plan is in force: %s", controller.logTail(1))
	if _, err := operate("offer", "planner", "42", "--who", "test", "--why", "second"); err != nil {
		return false, err
	}
	if !answers(5*time.Second, "42", "on trial") {
		return false, errors.New("build 42 did not begin")
	}
	if r.trouble {
		controller.signal(syscall.SIGKILL)
		<-controller.done
		r.log("the controller was killed; build 42 is on trial")
		if controller, err = start(); err != nil {
			return false, err
		}
	}
	// What was accepted is still owed: 30 s are the pages' longest time to get ready.
	held := answers(30*time.Second, "42")
	if conn, err := net.Dial("tcp", watch); err == nil {
		_ = conn.Close()
		r.log("the address for watches takes connections")
	} else {
		r.log("the address for watches: %v", err)
	}
	r.say("after the restart the controller answers with build 42: %v; it has ended: %v", held, controller.ended())
	r.log("output of the controller:\n%s", controller.logTail(4))
	return held, nil
}
