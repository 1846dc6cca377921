package membership

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lichenroad/relay"
)

const (
	noGeneration = int64(-1)

	// maxVersions limits the versions that a delta can start from: half an hour of a list that changes every 14 s.
	maxVersions = 128
	// maxRemovals limits the removals that are kept for deltas. A relay that missed more of them has to poll discovery.
	maxRemovals = 4096
)

// List is discovery's endpoint list, or a set of changes to it.
type List struct {
	Generation int64 // number of changes so far, as counted by discovery
	Full       bool  // the list is complete: endpoints that it omits have been removed
	Endpoints  []relay.Endpoint
}

// listVersion identifies the contents of a list: relays with equal versions hold the same ready endpoints.
type listVersion struct {
	generation int64
	digest     uint64
}

// removal is an endpoint whose entry in older lists is no longer valid: it left, or another process has taken its id.
type removal struct {
	generation int64
	endpoint   relay.EndpointID
}

// endpointList holds the ready endpoints that a relay knows from discovery and from peers.
type endpointList struct {
	epoch          relay.Seconds               // Unix time of the node's time zero
	processes      map[relay.EndpointID]uint64 // hash of each ready endpoint's process
	digest         uint64                      // exclusive or of the hashes, which does not depend on their order
	generation     int64                       // of the last answer from discovery
	removedByPeers map[relay.EndpointID]int64  // endpoints that peers reported as removed, with the generation of the report
	versions       []listVersion               // versions that this relay has held completely, oldest first
	removals       []removal                   // oldest first
	removalsSince  int64                       // oldest generation since which removals is complete
}

func newEndpointList(epoch relay.Seconds) endpointList {
	return endpointList{
		epoch:          epoch,
		processes:      map[relay.EndpointID]uint64{},
		generation:     noGeneration,
		removedByPeers: map[relay.EndpointID]int64{},
	}
}

// processHash identifies one process of an endpoint by its id, build and start time.
func (l *endpointList) processHash(entry relay.Endpoint) uint64 {
	startedAt := int64(0) // Unix milliseconds
	if entry.StartKnown {
		startedAt = int64(math.Round((entry.StartedAt + l.epoch) * 1000))
	}
	var fields [24]byte
	binary.LittleEndian.PutUint64(fields[0:], uint64(entry.ID))
	binary.LittleEndian.PutUint64(fields[8:], uint64(entry.Build))
	binary.LittleEndian.PutUint64(fields[16:], uint64(startedAt))
	return xxhash.Sum64(fields[:])
}

// apply applies a list from discovery. It returns the outdated entries: endpoints that are ready in the list, but that a
// peer has reported as removed in a later generation. These stay removed.
func (l *endpointList) apply(update List) (outdated []relay.EndpointID) {
	l.generation = update.Generation
	listed := map[relay.EndpointID]bool{}
	for _, entry := range update.Endpoints {
		if update.Full {
			listed[entry.ID] = true
		}
		if isOutdated := l.setEntry(entry); isOutdated {
			outdated = append(outdated, entry.ID)
		}
	}
	if update.Full {
		l.removeUnlisted(listed)
	}
	return outdated
}

// setEntry applies one entry of an answer from discovery. It reports whether the entry is outdated, that is, ready although
// a peer has reported the endpoint as removed in a later generation.
func (l *endpointList) setEntry(entry relay.Endpoint) (outdated bool) {
	removedIn, reported := l.removedByPeers[entry.ID]
	if reported && removedIn > l.generation {
		return entry.State == relay.Ready
	}
	delete(l.removedByPeers, entry.ID)
	if entry.State != relay.Ready {
		l.remove(entry.ID, l.generation)
		return false
	}
	hash := l.processHash(entry)
	if known, listed := l.processes[entry.ID]; listed && known == hash {
		return false
	}
	l.remove(entry.ID, l.generation)
	l.processes[entry.ID] = hash
	l.digest ^= hash
	return false
}

// removeUnlisted removes the endpoints that a full list omits.
func (l *endpointList) removeUnlisted(listed map[relay.EndpointID]bool) {
	var unlisted []relay.EndpointID
	for endpoint := range l.processes {
		if !listed[endpoint] {
			unlisted = append(unlisted, endpoint)
		}
	}
	slices.Sort(unlisted)
	for _, endpoint := range unlisted {
		l.remove(endpoint, l.generation)
	}
}

// remove removes a ready endpoint from the list and reports whether it was listed.
func (l *endpointList) remove(endpoint relay.EndpointID, generation int64) bool {
	hash, listed := l.processes[endpoint]
	if !listed {
		return false
	}
	delete(l.processes, endpoint)
	l.digest ^= hash
	l.removals = append(l.removals, removal{generation, endpoint})
	if excess := len(l.removals) - maxRemovals; excess > 0 {
		l.removalsSince = max(l.removalsSince, l.removals[excess-1].generation)
		l.removals = slices.Delete(l.removals, 0, excess)
	}
	return true
}

// removeByPeer applies a removal reported by a peer and reports whether it changed the list.
func (l *endpointList) removeByPeer(endpoint relay.EndpointID, generation int64) bool {
	if generation <= l.generation || !l.remove(endpoint, generation) {
		return false
	}
	l.removedByPeers[endpoint] = generation
	return true
}

// rememberVersion adds a version to those that deltas can start from.
func (l *endpointList) rememberVersion(version listVersion) {
	l.versions = append(l.versions, version)
	if excess := len(l.versions) - maxVersions; excess > 0 {
		l.versions = slices.Delete(l.versions, 0, excess)
	}
}

// forgetGenerations drops everything that refers to the generations before a restart of discovery.
func (l *endpointList) forgetGenerations() {
	clear(l.removedByPeers)
	l.versions = nil
	l.removals = nil
	l.removalsSince = 0
}

// removedSince returns the endpoints removed since a version, ordered by id, and whether this node knows them.
func (l *endpointList) removedSince(base listVersion) ([]relay.EndpointID, bool) {
	if base.generation < l.removalsSince || !slices.Contains(l.versions, base) {
		return nil, false
	}
	var endpoints []relay.EndpointID
	for _, r := range l.removals {
		if r.generation > base.generation {
			endpoints = append(endpoints, r.endpoint)
		}
	}
	slices.Sort(endpoints)
	return slices.Compact(endpoints), true
}
