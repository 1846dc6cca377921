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

	// maxHistory bounds the views that a delta may start from: half an hour of a list that changes every 14 s.
	maxHistory = 128
	// maxChanges bounds the units that left and may be told of. A relay that missed more asks discovery.
	maxChanges = 4096
)

// List is discovery's list, or a change of it.
type List struct {
	Generation int64
	Full       bool // units that are not in it are gone
	Endpoints  []relay.Endpoint
}

// view names a list: two relays with equal views hold the same ready units.
type view struct {
	generation int64
	digest     uint64
}

// change is a unit whose entry in older lists no longer holds: it left, or another process took its id.
type change struct {
	generation int64
	unit       relay.EndpointID
}

// list is what a relay knows of the units, from discovery and from peers.
type list struct {
	epoch      relay.Seconds               // Unix time of time zero
	process    map[relay.EndpointID]uint64 // hash of each ready unit's process
	digest     uint64                      // of all of them
	generation int64                       // of discovery's last answer
	left       map[relay.EndpointID]int64  // told by peers as left, with the generation that did so
	history    []view                      // that were present ones, oldest first
	changes    []change                    // oldest first
	since      int64                       // changes are complete for views from this generation on
}

func newList(epoch relay.Seconds) list {
	return list{epoch: epoch, process: map[relay.EndpointID]uint64{}, left: map[relay.EndpointID]int64{}, generation: noGeneration}
}

// processHash tells one process of a unit from the next. Digests are exclusive ors of these, whatever the order.
func (l *list) processHash(entry relay.Endpoint) uint64 {
	started := int64(0)
	if entry.StartKnown {
		started = int64(math.Round((entry.StartedAt + l.epoch) * 1000))
	}
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(entry.ID))
	binary.LittleEndian.PutUint64(b[8:], uint64(entry.Build))
	binary.LittleEndian.PutUint64(b[16:], uint64(started))
	return xxhash.Sum64(b[:])
}

// apply takes a list from discovery. It returns the units that this list holds for ready though a peer has told, of a
// later generation, that they left.
func (l *list) apply(given List) (still []relay.EndpointID) {
	l.generation = given.Generation
	listed := map[relay.EndpointID]bool{}
	for _, entry := range given.Endpoints {
		if given.Full {
			listed[entry.ID] = true
		}
		if l.set(entry) {
			still = append(still, entry.ID)
		}
	}
	if given.Full {
		l.removeOthers(listed)
	}
	return still
}

// set takes one entry, and says whether a peer knows better.
func (l *list) set(entry relay.Endpoint) (left bool) {
	if generation, told := l.left[entry.ID]; told && generation > l.generation {
		return entry.State == relay.Ready
	}
	delete(l.left, entry.ID)
	if entry.State != relay.Ready {
		l.remove(entry.ID, l.generation)
		return false
	}
	hash := l.processHash(entry)
	if before, known := l.process[entry.ID]; known && before == hash {
		return false
	}
	l.remove(entry.ID, l.generation)
	l.process[entry.ID] = hash
	l.digest ^= hash
	return false
}

// removeOthers removes the units that a whole list leaves out.
func (l *list) removeOthers(listed map[relay.EndpointID]bool) {
	var others []relay.EndpointID
	for unit := range l.process {
		if !listed[unit] {
			others = append(others, unit)
		}
	}
	slices.Sort(others)
	for _, unit := range others {
		l.remove(unit, l.generation)
	}
}

// remove takes a ready unit off the list, and says whether it was on it.
func (l *list) remove(unit relay.EndpointID, generation int64) bool {
	hash, known := l.process[unit]
	if !known {
		return false
	}
	delete(l.process, unit)
	l.digest ^= hash
	l.changes = append(l.changes, change{generation, unit})
	if over := len(l.changes) - maxChanges; over > 0 {
		l.since = max(l.since, l.changes[over-1].generation)
		l.changes = slices.Delete(l.changes, 0, over)
	}
	return true
}

// tell takes a peer's word that a unit left, and says whether that is news.
func (l *list) tell(unit relay.EndpointID, generation int64) bool {
	if generation <= l.generation || !l.remove(unit, generation) {
		return false
	}
	l.left[unit] = generation
	return true
}

// remember adds a view to the history.
func (l *list) remember(v view) {
	l.history = append(l.history, v)
	if over := len(l.history) - maxHistory; over > 0 {
		l.history = slices.Delete(l.history, 0, over)
	}
}

// forget drops all that is counted by generation.
func (l *list) forget() {
	clear(l.left)
	l.history, l.changes, l.since = nil, nil, 0
}

// leftSince are the units that left behind a view, in order of their ids; false if that is not known here.
func (l *list) leftSince(base view) ([]relay.EndpointID, bool) {
	if base.generation < l.since || !slices.Contains(l.history, base) {
		return nil, false
	}
	var units []relay.EndpointID
	for _, c := range l.changes {
		if c.generation > base.generation {
			units = append(units, c.unit)
		}
	}
	slices.Sort(units)
	return slices.Compact(units), true
}
