package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"lichenroad/relay"
)

// maxEndpoints bounds a list: a thousand times what one relay sends to.
const maxEndpoints = 1 << 14

// errMalformedList is of an answer, or an entry of one, that can't be read.
var errMalformedList = errors.New("malformed list")

// List is one answer of the discovery service.
type List struct {
	Generation int64
	Full       bool // it holds all endpoints, not the changes alone
	Endpoints  []ListedEndpoint
	Unreadable int // entries that could not be read; of those, Endpoints has the ones that leave, as partial
}

// ListedEndpoint is one entry of a list: what the decision module sees of it, and where it is.
type ListedEndpoint struct {
	relay.Endpoint
	Name, Address string
}

// Reader reads lists. It remembers the numbers that it gave to zones and machine types, so there is one for the life of
// the process. It may be used by several goroutines.
type Reader struct {
	mu           sync.Mutex // guards what follows
	zones        *numbering
	machineTypes *numbering
	fromUnix     func(float64) relay.Seconds
}

// NewReader returns a reader. The zones and machine types of the settings are numbered by their place there; fromUnix
// turns a Unix time in seconds into the program's.
func NewReader(zones, machineTypes []string, fromUnix func(float64) relay.Seconds) *Reader {
	return &Reader{zones: newNumbering(zones), machineTypes: newNumbering(machineTypes), fromUnix: fromUnix}
}

// Parse reads a list. An entry that can't be read is left out and does not lose the rest, but one that says of an endpoint
// that it leaves is believed with what can be read of it. Of two entries with one id the later holds.
func (r *Reader) Parse(raw []byte) (List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wire wireList
	if err := json.Unmarshal(raw, &wire); err != nil {
		return List{}, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	if wire.Generation == nil || len(wire.Instances) > maxEndpoints {
		return List{}, fmt.Errorf("%w: %d entries", errMalformedList, len(wire.Instances))
	}
	list := List{Generation: *wire.Generation, Full: wire.Reset}
	indexOf := map[relay.EndpointID]int{}
	for _, entry := range wire.Instances {
		endpoint, err := r.parseEndpoint(entry)
		if err != nil {
			list.Unreadable++
			if !endpoint.Partial {
				continue
			}
		}
		if i, duplicate := indexOf[endpoint.ID]; duplicate {
			list.Endpoints[i] = endpoint
			continue
		}
		indexOf[endpoint.ID] = len(list.Endpoints)
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

// parseEndpoint reads one entry. With an error, the endpoint is partial if the entry says that it leaves, else empty.
func (r *Reader) parseEndpoint(raw []byte) (ListedEndpoint, error) {
	wire, fault, err := decodeEndpoint(raw)
	if err != nil {
		return ListedEndpoint{}, err
	}
	state, known := lifecycleStates[wire.Lifecycle]
	if wire.ID == "" || !known {
		return ListedEndpoint{}, fmt.Errorf("%w: entry %.40q", errMalformedList, wire.ID)
	}
	if fault == nil && state != relay.Removed {
		fault = checkAddress(wire.HostPort)
	}
	if fault == nil {
		return r.listedEndpoint(wire, state), nil
	}
	if state == relay.Ready {
		return ListedEndpoint{}, fault
	}
	partial := relay.Endpoint{ID: endpointID(wire.ID), State: state, Partial: true}
	return ListedEndpoint{Endpoint: partial, Name: wire.ID}, fault
}

func checkAddress(hostPort string) error {
	if _, err := netip.ParseAddrPort(hostPort); err != nil {
		return fmt.Errorf("%w: address %.40q", errMalformedList, hostPort)
	}
	return nil
}

// listedEndpoint turns an entry without faults into an endpoint.
func (r *Reader) listedEndpoint(wire wireEndpoint, state relay.EndpointState) ListedEndpoint {
	endpoint := relay.Endpoint{
		ID:            endpointID(wire.ID),
		Zone:          relay.Zone(r.zones.numberOf(wire.Zone)),
		MachineType:   relay.MachineType(r.machineTypes.numberOf(wire.MachineType)),
		FailureDomain: relay.FailureDomain(wire.FailureDomain),
		Build:         relay.Build(wire.Build),
		Weight:        float64(wire.Weight),
		State:         state,
	}
	if wire.StartedMs != 0 {
		endpoint.StartKnown, endpoint.StartedAt = true, r.fromUnix(float64(wire.StartedMs)/1000)
	}
	return ListedEndpoint{Endpoint: endpoint, Name: wire.ID, Address: wire.HostPort}
}
