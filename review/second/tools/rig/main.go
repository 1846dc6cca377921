//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// longest is how long a case may run.
const longest = 115 * time.Second

// cases are the cases by number. Each returns whether the rule held; an error means that the case could not run.
var cases = map[string]func(*rig) (held bool, err error){
	"stale-vote-answer": caseStaleVoteAnswer,
	"moved-discovery":   caseMovedDiscovery,
	"sticky-key":        caseStickyKey,
	"silent-controller": caseSilentController,
	"shutdown-held":     caseShutdownHeld,
	"second-answer":     caseSecondAnswer,
	"plan-restart":      casePlanRestart,
	"crowded-discovery": caseCrowdedDiscovery,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitNotRun)
	}
	r, err := newRig(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	time.AfterFunc(longest, func() {
		r.say("the case could not run: it took over %v", longest)
		r.end()
		os.Exit(exitNotRun)
	})
	os.Exit(r.run(cases[os.Args[1]]))
}

func (r *rig) run(play func(*rig) (bool, error)) int {
	r.log("trouble: %v", r.trouble)
	held, err := play(r)
	code := exitHeld
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		code = exitNotRun
	case held:
		r.say("the rule held")
	default:
		r.say("the rule was BROKEN")
		code = exitBroken
	}
	r.end()
	return code
}
