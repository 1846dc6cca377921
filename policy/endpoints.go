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
	pollTimeout = 4.0 // seconds without an answer after which a call to discovery is repeated
	// seconds after listingDelay before a stalled watch may be restarted, and the mean of the random delay
	// from then on
	watchRestartDelay = 2.0
	listingDelay      = 3.0  // seconds from the start of a stage within which its endpoints are usually listed
	removedRetention  = 60.0 // seconds after which a removed endpoint is dropped: five evidence windows
)

// endpointList holds the endpoint list and decides when to poll discovery for it.
type endpointList struct {
	p      *Policy
	byID   map[relay.EndpointID]*trackedEndpoint
	byHash map[peerwire.EndpointHash]*trackedEndpoint
	all    []*trackedEndpoint // sorted by id; includes removed endpoints until they are evicted
	oldest relay.Build        // see oldestBuild
	stale  bool               // oldest has to be determined again

	pollPending    bool               // no call has been made since the start or since the last failure
	pollAt         relay.Seconds      // time of the next poll; never: a call was answered and its watch is open
	backoff        membership.Backoff // delays between calls to discovery
	leaseExpiresAt relay.Seconds      // the list must not be used from this time on; never: there is no lease
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

// start makes the first call to discovery: at once without a lease, otherwise after the first backoff
// delay. With a lease the call can wait, since an old list is not used once the lease has expired.
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

// leaseChanged sets the end of the lease. Attempts that wait for a connection under one that was to last
// longer are revoked when it ends.
func (l *endpointList) leaseChanged(expiresAt relay.Seconds) {
	shortened := expiresAt < l.leaseExpiresAt
	l.leaseExpiresAt = expiresAt
	if shortened && !l.leaseExpired() {
		l.p.emit(relay.SetTimer{ID: leaseTimer, At: expiresAt})
	}
}

// leaseExpired reports whether the list has been unconfirmed for too long and must not be used any more.
func (l *endpointList) leaseExpired() bool { return l.p.now >= l.leaseExpiresAt }

// tick polls discovery when a poll is due. It also restarts a watch that seems stalled, which shows first
// in a stage whose endpoints are not listed; otherwise a stall goes unnoticed until the watch's own
// timeout.
func (l *endpointList) tick() {
	if l.p.settings.ListOnRequest && l.p.now >= l.pollAt {
		l.poll()
		return
	}
	watching := l.pollAt == never
	if watching && l.p.canary.listingOverdue() && l.p.random.Float64() < tickInterval/watchRestartDelay {
		l.p.canary.watchRestarted = true
		l.p.emit(relay.Watch{On: true, Restart: true})
	}
}

// listUpdated applies an update of the list, or schedules the next poll after a failed call.
func (l *endpointList) listUpdated(update relay.ListUpdate) {
	stalled := update.Kind == relay.ListWatchStalled
	if stalled || update.Kind == relay.ListFetchFailed {
		// The failed call is not identified. Changes that a stalled watch missed soon count as delivered, so
		// poll early.
		l.pollPending = true
		l.pollAt = l.p.now + l.backoff.Failed(stalled)
		return
	}
	// While a call is pending, a list comes from an earlier call or from before the first one.
	if update.Kind != relay.ListCached && !update.FromPeers && !l.pollPending {
		l.pollAt = never
		l.backoff.Answered()
	}
	l.apply(update)
}

// discoveryRecovered brings a pending call forward, since discovery has answered another relay.
func (l *endpointList) discoveryRecovered() {
	if l.pollPending {
		l.pollAt = min(l.pollAt, l.p.now+l.backoff.PeerAnswered())
	}
}

// apply sends each listed endpoint its new entry, and marks endpoints that a full list omits as removed.
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
	l.evictRemoved()
}

// oldestBuild returns the lowest build of the ready endpoints; 0 if there are none.
func (l *endpointList) oldestBuild() relay.Build {
	if !l.stale {
		return l.oldest
	}
	l.oldest, l.stale = 0, false
	found := false
	for _, endpoint := range l.all {
		ready := endpoint.listed && endpoint.State == relay.Ready
		if ready && (!found || endpoint.Build < l.oldest) {
			l.oldest, found = endpoint.Build, true
		}
	}
	return l.oldest
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

// evictRemoved drops endpoints that were removed long ago and have no open attempts. Machines change with
// every release, so the list would otherwise grow for as long as the relay runs.
func (l *endpointList) evictRemoved() {
	kept := l.all[:0]
	var freedHashes []peerwire.EndpointHash
	for _, endpoint := range l.all {
		if !endpoint.evictable() {
			kept = append(kept, endpoint)
			continue
		}
		delete(l.byID, endpoint.id)
		if hash := peerwire.HashOf(endpoint.id); l.byHash[hash] == endpoint {
			delete(l.byHash, hash)
			freedHashes = append(freedHashes, hash)
		}
	}
	clear(l.all[len(kept):])
	l.all = kept
	for _, hash := range freedHashes {
		// The evicted endpoint may have hidden another one with the same hash.
		sameHash := func(endpoint *trackedEndpoint) bool { return peerwire.HashOf(endpoint.id) == hash }
		if i := slices.IndexFunc(kept, sameHash); i >= 0 {
			l.byHash[hash] = kept[i]
		}
	}
}

// readyCounts counts ready endpoints.
type readyCounts struct {
	total float64
	// endpoints past their slow start; those of a build on trial count by their exposure limit
	usable float64
}

func (l *endpointList) countReady() (ready readyCounts) {
	for _, endpoint := range l.all {
		if endpoint.State != relay.Ready {
			continue
		}
		ready.total++
		exposure := l.p.canary.exposureOf(endpoint.Build)
		if endpoint.capacityFraction() >= 1 {
			ready.usable += exposure.limit
		}
	}
	return ready
}
