// The roster: when discovery is asked for the list of units, and asked again.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	watchRetry  = 1.0  // s before a failed watch is asked for again, with as much jitter on top
	askPart     = 0.25 // of the time to which a relay with no watch is held, at most the same
	silentRetry = 0.2  // s, with as much on top, while a call behind a silence fails: a tenth of the 2 s left
	watchWait   = 4.0  // s without any answer after which a call to the roster is made again
	doubtSpread = 2.0  // s past listedLag before a watch is doubted, and on average until then
	listedLag   = 3.0  // s from a stage's start in which its units are usually listed
	forgetGone  = 60.0 // s after which a unit that is gone is forgotten: five windows of evidence
)

func (r *roster) ask() {
	r.askAt, r.failed = r.p.now+watchWait, false
	r.p.do(relay.Watch{On: true})
}

func (r *roster) take(n note) {
	switch n := n.(type) {
	case noteTick:
		t := &r.p.trial
		if r.p.set.RosterOnAsk && r.p.now >= r.askAt {
			r.ask()
		} else if r.askAt == never && t.known && !t.doubted && t.listedAt == 0 && t.news.Phase == relay.OnTrial &&
			r.p.now-t.since > listedLag+doubtSpread && r.p.rng.Float64() < tick/doubtSpread {
			// A stage whose units nobody lists: a silent watch shows in nothing else until its wait is over.
			t.doubted = true
			r.p.do(relay.Watch{On: true, Anew: true})
		}
	case relay.Roster:
		if n.Form == relay.RosterFailed || n.Form == relay.RosterSilent {
			// Which call failed is not said. What a silent watch missed counts as told soon: ask at once.
			r.failed, r.silent = true, r.silent || n.Form == relay.RosterSilent
			wait := math.Min(watchRetry, askPart*r.p.set.Rules.AskEvery)
			if n.Form == relay.RosterSilent {
				wait = 0
			} else if r.silent {
				wait = math.Min(silentRetry, wait)
			}
			r.askAt = r.p.now + wait*(1+r.p.rng.Float64())
			return
		}
		if n.Form != relay.RosterCached && !r.failed { // else it may be of another call than the one that failed
			r.askAt, r.silent = never, false
		}
		r.merge(n)
	}
}
