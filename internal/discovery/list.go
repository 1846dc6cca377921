package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"lichenroad/relay"
)

// maxEndpoints is the maximum number of entries in a list: a thousand times the endpoints that one relay sends to.
const maxEndpoints = 1 << 14

// errMalformedList is the error for an answer, or an entry in one, that cannot be parsed.
var errMalformedList = errors.New("malformed list")

// List is one answer from the discovery service.
type List struct {
	Generation int64
	Full       bool // the list contains all endpoints, not only the changes
	Endpoints  []ListedEndpoint
	Unreadable int // number of malformed entries; Endpoints contains those of leaving endpoints, marked as partial
}

// ListedEndpoint is one entry of a list. The decision module sees only the embedded relay.Endpoint.
type ListedEndpoint struct {
	relay.Endpoint
	Name, Address string
}

// Reader parses lists. It assigns numbers to zones and machine types and remembers them, so a process must use a single
// Reader. It is safe for concurrent use.
type Reader struct {
	mu           sync.Mutex // guards zones and machineTypes
	zones        *numbering
	machineTypes *numbering
	fromUnix     func(float64) relay.Seconds
}

// NewReader returns a reader. The given zones and machine types, which are those of the settings, are numbered by their
// position. The function fromUnix converts a Unix time in seconds to the program's time.
func NewReader(zones, machineTypes []string, fromUnix func(float64) relay.Seconds) *Reader {
	return &Reader{zones: newNumbering(zones), machineTypes: newNumbering(machineTypes), fromUnix: fromUnix}
}

// Parse parses a list. Malformed entries are omitted, and the other entries are still used. If a malformed entry states
// that an endpoint is leaving, it is included as partial. If two entries have the same id, the later one is used.
func (r *Reader) Parse(raw []byte) (List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wire wireList
	if err := json.Unmarshal(raw, &wire); err != nil {
		return List{}, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	if wire.Generation == nil || len(wire.Instances) > maxEndpoints {
		return List{}, fmt.Errorf("%w: no generation or too many entries (%d)", errMalformedList, len(wire.Instances))
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

// parseEndpoint parses one entry. With an error it returns a partial endpoint if the entry states that the endpoint is
// leaving, and an empty one otherwise.
func (r *Reader) parseEndpoint(raw []byte) (ListedEndpoint, error) {
	wire, fault, err := decodeEndpoint(raw)
	if err != nil {
		return ListedEndpoint{}, err
	}
	state, known := lifecycleStates[wire.Lifecycle]
	if wire.ID == "" || !known {
		return ListedEndpoint{}, fmt.Errorf("%w: entry %.40q without an id or with an unknown lifecycle", errMalformedList,
			wire.ID)
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

// listedEndpoint converts a valid entry to an endpoint.
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
