// The roster: when discovery is asked for the list of units, and asked again.

package policy

import (
	"math"

	"lichenroad/relay"
)

const (
	pollTimeout        = 4.0  // s without any answer after which a call to the roster is made again
	restartSpread      = 2.0  // s past listingDelay before a watch is doubted, and on average until then
	listingDelay       = 3.0  // s from a stage's start in which its units are usually listed
	forgetRemovedAfter = 60.0 // s after which a unit that is gone is forgotten: five windows of evidence
)

// begin has the first call made: at once where no lease holds the relay back from a list that may be old.
func (r *endpointList) start(leased bool) {
	if !leased {
		r.poll()
		return
	}
	r.pollPending, r.pollAt = true, r.p.now+r.backoff.First()
}

func (r *endpointList) poll() {
	r.pollAt, r.pollPending = r.p.now+pollTimeout, false
	r.p.emit(relay.Watch{On: true})
}

// expired says that nobody has confirmed the list for too long: it may be acted on no more.
func (r *endpointList) leaseExpired() bool { return r.p.now >= r.leaseExpiresAt }

func (r *endpointList) take(n message) {
	switch n := n.(type) {
	case tickMessage:
		t := &r.p.canary
		if r.p.settings.ListOnRequest && r.p.now >= r.pollAt {
			r.poll()
		} else if r.pollAt == never && t.hasStatus && !t.watchRestarted && t.listedAt == 0 &&
			t.status.Phase == relay.PhaseCanary && r.p.now-t.stageSince > listingDelay+restartSpread &&
			r.p.random.Float64() < tickInterval/restartSpread {
			// A stage whose units nobody lists: a silent watch shows in nothing else until its wait is over.
			t.watchRestarted = true
			r.p.emit(relay.Watch{On: true, Restart: true})
		}
	case relay.ListUpdate:
		if n.Kind == relay.ListFetchFailed || n.Kind == relay.ListWatchStalled {
			// Which call failed is not said. What a silent watch missed counts as told soon: ask at once.
			r.pollPending = true
			r.pollAt = r.p.now + r.backoff.Failed(n.Kind == relay.ListWatchStalled)
			return
		}
		// While a call is due the list is of another one, or of before the first.
		if n.Kind != relay.ListCached && !n.FromPeers && !r.pollPending {
			r.pollAt = never
			r.backoff.Answered()
		}
		r.apply(n)
	case relay.ListLease:
		r.leaseExpiresAt = n.ExpiresAt
	case relay.DiscoveryRecovered:
		if r.pollPending {
			r.pollAt = math.Min(r.pollAt, r.p.now+r.backoff.PeerAnswered())
		}
	}
}
