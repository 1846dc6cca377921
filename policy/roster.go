// The roster: when discovery is asked for the list of units, and asked again.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	watchWait   = 4.0  // s without any answer after which a call to the roster is made again
	doubtSpread = 2.0  // s past listedLag before a watch is doubted, and on average until then
	listedLag   = 3.0  // s from a stage's start in which its units are usually listed
	forgetGone  = 60.0 // s after which a unit that is gone is forgotten: five windows of evidence
)

// begin has the first call made: at once where no lease holds the relay back from a list that may be old.
func (r *roster) begin(leased bool) {
	if !leased {
		r.ask()
		return
	}
	r.callDue, r.askAt = true, r.p.now+r.backoff.First()
}

func (r *roster) ask() {
	r.askAt, r.callDue = r.p.now+watchWait, false
	r.p.do(relay.Watch{On: true})
}

// expired says that nobody has confirmed the list for too long: it may be acted on no more.
func (r *roster) expired() bool { return r.p.now >= r.leaseEnd }

func (r *roster) take(n note) {
	switch n := n.(type) {
	case noteTick:
		t := &r.p.trial
		if r.p.set.ListOnRequest && r.p.now >= r.askAt {
			r.ask()
		} else if r.askAt == never && t.known && !t.doubted && t.listedAt == 0 &&
			t.news.Phase == relay.PhaseCanary && r.p.now-t.since > listedLag+doubtSpread &&
			r.p.rng.Float64() < tick/doubtSpread {
			// A stage whose units nobody lists: a silent watch shows in nothing else until its wait is over.
			t.doubted = true
			r.p.do(relay.Watch{On: true, Restart: true})
		}
	case relay.ListUpdate:
		if n.Kind == relay.ListFetchFailed || n.Kind == relay.ListWatchStalled {
			// Which call failed is not said. What a silent watch missed counts as told soon: ask at once.
			r.callDue = true
			r.askAt = r.p.now + r.backoff.Failed(n.Kind == relay.ListWatchStalled)
			return
		}
		// While a call is due the list is of another one, or of before the first.
		if n.Kind != relay.ListCached && !n.FromPeers && !r.callDue {
			r.askAt = never
			r.backoff.Answered()
		}
		r.merge(n)
	case relay.ListLease:
		r.leaseEnd = n.ExpiresAt
	case relay.DiscoveryRecovered:
		if r.callDue {
			r.askAt = math.Min(r.askAt, r.p.now+r.backoff.PeerAnswered())
		}
	}
}
