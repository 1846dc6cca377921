package policy

import (
	"slices"
	"sort"

	"lichenroad/membership"
	"lichenroad/policy/peerwire"
	"lichenroad/policy/window"
	"lichenroad/relay"
)

const (
	pollTimeout        = 4.0  // s without any answer after which a call to discovery is made again
	restartSpread      = 2.0  // s past listingDelay before a watch is restarted, and on average until then
	listingDelay       = 3.0  // s from a stage's start in which its endpoints are usually listed
	forgetRemovedAfter = 60.0 // s after which a removed endpoint is forgotten: five windows of evidence
)

// endpointList keeps the list of endpoints, and decides when discovery is polled for it.
type endpointList struct {
	p      *Policy
	byID   map[relay.EndpointID]*trackedEndpoint
	byHash map[peerwire.EndpointHash]*trackedEndpoint
	all    []*trackedEndpoint // by id; removed ones too, until they are forgotten

	pollPending    bool               // no call was made since the start, or since one failed
	pollAt         relay.Seconds      // when to poll again; never: an answer has come, so the watch stands
	backoff        membership.Backoff // of calls to discovery
	leaseExpiresAt relay.Seconds      // until when the list may be acted on; never: no lease was named
}

func newEndpointList(p *Policy) endpointList {
	return endpointList{
		p:              p,
		byID:           map[relay.EndpointID]*trackedEndpoint{},
		byHash:         map[peerwire.EndpointHash]*trackedEndpoint{},
		leaseExpiresAt: never,
		backoff:        membership.NewBackoff(p.settings.Relays, p.settings.Rules.PollInterval, p.random),
	}
}

// start has the first call made: at once where no lease holds the relay back from a list that may be old.
func (l *endpointList) start(leased bool) {
	if !leased {
		l.poll()
		return
	}
	l.pollPending = true
	l.pollAt = l.p.now + l.backoff.First()
}

func (l *endpointList) poll() {
	l.pollPending = false
	l.pollAt = l.p.now + pollTimeout
	l.p.emit(relay.Watch{On: true})
}

// leaseExpired says that nobody has confirmed the list for too long: it may not be acted on any more.
func (l *endpointList) leaseExpired() bool { return l.p.now >= l.leaseExpiresAt }

// tick polls discovery when that is due. It restarts a watch that seems stalled: a stage whose endpoints
// nobody lists shows it, and nothing else does until the watch's own wait is over.
func (l *endpointList) tick() {
	if l.p.settings.ListOnRequest && l.p.now >= l.pollAt {
		l.poll()
		return
	}
	watching := l.pollAt == never
	if watching && l.p.canary.listingOverdue() && l.p.random.Float64() < tickInterval/restartSpread {
		l.p.canary.watchRestarted = true
		l.p.emit(relay.Watch{On: true, Restart: true})
	}
}

// listUpdated takes an update of the list, or the failure of a call for one.
func (l *endpointList) listUpdated(update relay.ListUpdate) {
	stalled := update.Kind == relay.ListWatchStalled
	if stalled || update.Kind == relay.ListFetchFailed {
		// Which call failed is not said. What a stalled watch missed counts as delivered soon: poll at once.
		l.pollPending = true
		l.pollAt = l.p.now + l.backoff.Failed(stalled)
		return
	}
	// While a call is pending the list is of another one, or from before the first.
	if update.Kind != relay.ListCached && !update.FromPeers && !l.pollPending {
		l.pollAt = never
		l.backoff.Answered()
	}
	l.apply(update)
}

// discoveryRecovered brings a pending call forward: discovery has answered another relay.
func (l *endpointList) discoveryRecovered() {
	if l.pollPending {
		l.pollAt = min(l.pollAt, l.p.now+l.backoff.PeerAnswered())
	}
}

// apply sends each listed endpoint its entry, and endpoints that a full list leaves out their removal.
func (l *endpointList) apply(update relay.ListUpdate) {
	listed := map[relay.EndpointID]bool{}
	for _, entry := range update.Endpoints {
		listed[entry.ID] = true
		endpoint := l.byID[entry.ID]
		if endpoint == nil {
			endpoint = l.add(entry.ID)
		}
		if entry.Partial && endpoint.listed {
			entry = endpoint.withState(entry.State)
		}
		l.p.send(endpoint, endpointListed{entry})
	}
	for _, endpoint := range l.all {
		if update.Kind != relay.ListDelta && !listed[endpoint.id] && endpoint.State != relay.Removed {
			l.p.send(endpoint, endpointListed{endpoint.withState(relay.Removed)})
		}
	}
	l.forgetRemoved()
}

func (l *endpointList) add(id relay.EndpointID) *trackedEndpoint {
	endpoint := &trackedEndpoint{p: l.p, id: id}
	columns := len(l.p.classes) * evidenceColumns
	for source := range endpoint.evidence {
		endpoint.evidence[source] = window.NewSliding(evidenceBucketTime, evidenceBuckets, columns)
	}
	l.byID[id] = endpoint
	if hash := peerwire.HashOf(id); l.byHash[hash] == nil {
		l.byHash[hash] = endpoint
	}
	at := sort.Search(len(l.all), func(i int) bool { return l.all[i].id > id })
	l.all = slices.Insert(l.all, at, endpoint)
	return endpoint
}

// forgetRemoved drops endpoints that were removed long ago and hold nothing: with releases every day,
// machines come and go for as long as a relay lives.
func (l *endpointList) forgetRemoved() {
	kept := l.all[:0]
	var vacant []peerwire.EndpointHash
	for _, endpoint := range l.all {
		if !endpoint.forgettable() {
			kept = append(kept, endpoint)
			continue
		}
		delete(l.byID, endpoint.id)
		if hash := peerwire.HashOf(endpoint.id); l.byHash[hash] == endpoint {
			delete(l.byHash, hash)
			vacant = append(vacant, hash)
		}
	}
	clear(l.all[len(kept):])
	l.all = kept
	for _, hash := range vacant {
		// Another endpoint may have the same hash, and has been hidden by the removed one so far.
		sameHash := func(endpoint *trackedEndpoint) bool { return peerwire.HashOf(endpoint.id) == hash }
		if i := slices.IndexFunc(kept, sameHash); i >= 0 {
			l.byHash[hash] = kept[i]
		}
	}
}

// readyCounts are numbers of ready endpoints.
type readyCounts struct {
	all    float64
	usable float64 // past their slow start; of a build on trial, as far as the exposure limit lets them be used
}

func (l *endpointList) countReady() (ready readyCounts) {
	for _, endpoint := range l.all {
		if endpoint.State != relay.Ready {
			continue
		}
		ready.all++
		exposure := l.p.canary.exposureOf(endpoint.Build)
		if endpoint.capacityFraction() >= 1 {
			ready.usable += exposure.limit
		}
	}
	return ready
}
