// The roster: when discovery is asked for the list of units, and asked again.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	firstRetry  = 2.0  // s that a failed call is backed off at most, doubled by each further failure: as long as it waited
	mostRetry   = 16.0 // s that it is at most: a fleet's calls then come slower than the slowest discovery takes them
	callSpread  = 8.0  // s over which a whole fleet spreads its calls: in which discovery may take one of each relay
	callPace    = 0.1  // s of it for each relay of a small fleet
	retryPace   = 1.0  // s of a back-off for each relay: some relay of a small fleet tries about every second
	askPart     = 0.8  // of the time that a relay may go without a call, by the settings, that it does at most
	failedHolds = 4.0  // times that, that it may behind a failed call (protocol)
	watchWait   = 4.0  // s without any answer after which a call to the roster is made again
	doubtSpread = 2.0  // s past listedLag before a watch is doubted, and on average until then
	listedLag   = 3.0  // s from a stage's start in which its units are usually listed
	forgetGone  = 60.0 // s after which a unit that is gone is forgotten: five windows of evidence
)

// begin has the first call made, spread over the relays that may have started together.
func (r *roster) begin() {
	if r.p.set.Relays <= 1 {
		r.ask()
		return
	}
	r.askAt = r.p.now + r.spread()
}

// spread draws a time such that the calls of a whole fleet come no faster than discovery takes them.
func (r *roster) spread() relay.Seconds {
	most := math.Min(callSpread, callPace*float64(r.p.set.Relays))
	return math.Min(most, askPart*r.p.set.Rules.AskEvery) * r.p.rng.Float64()
}

func (r *roster) ask() {
	r.askAt, r.failed = r.p.now+watchWait, false
	r.p.do(relay.Watch{On: true})
}

// backOff draws the time until a failed call is made again: exponential, with full jitter.
func (r *roster) backOff() relay.Seconds {
	r.failures++
	most := math.Min(mostRetry, firstRetry*math.Exp2(float64(r.failures-1)))
	most = math.Min(most, retryPace*float64(max(r.p.set.Relays, 1)))
	return math.Min(most, askPart*failedHolds*r.p.set.Rules.AskEvery) * r.p.rng.Float64()
}

// expired says that nobody has confirmed the list for too long: it may be acted on no more.
func (r *roster) expired() bool { return r.p.now >= r.leaseEnd }

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
			r.failed = true
			if r.askAt = r.p.now + r.backOff(); n.Form == relay.RosterSilent && r.failures == 1 {
				r.askAt = r.p.now
			}
			return
		}
		if n.Form != relay.RosterCached && !n.FromPeers && !r.failed { // else it may be of another call than the one that failed
			r.askAt, r.failures = never, 0
		}
		r.merge(n)
	case relay.RosterLease:
		r.leaseEnd = n.Until
	case relay.DiscoveryAnswers:
		if r.failed {
			r.failures, r.askAt = 1, math.Min(r.askAt, r.p.now+r.spread())
		}
	}
}
