package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"
	"sync"

	"lichenroad/relay"
)

// maxEndpoints bounds a list: a thousand times what one relay sends to.
const maxEndpoints = 1 << 14

// List is one answer of discovery.
type List struct {
	Generation int64
	Full       bool
	Endpoints  []ListedEndpoint
	Unreadable int // entries that could not be read, and were left out or are bare
}

// Line is one entry: what the module sees of it, and where it is.
type ListedEndpoint struct {
	relay.Endpoint
	Name, Address string
}

// number takes a JSON number that may stand in quotes.
type quotableNumber float64

func (n *quotableNumber) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseFloat(string(bytes.Trim(b, `"`)), 64)
	*n = quotableNumber(v)
	return err
}

type wireList struct {
	Generation *int64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

type wireEndpoint struct {
	ID            string         `json:"instanceId"`
	HostPort      string         `json:"hostPort"`
	Zone          string         `json:"zone"`
	MachineType   string         `json:"machineType"`
	FailureDomain quotableNumber `json:"cell"`
	Lifecycle     string         `json:"lifecycle"`
	Weight        quotableNumber `json:"weight"`
	StartedMs     quotableNumber `json:"startedAtMs"`
	Build         quotableNumber `json:"build"`
}

// names numbers words: those that the settings list by their place there, others behind them as they come.
type numbering struct{ numbers map[string]int }

func newNumbering(known []string) *numbering {
	n := &numbering{numbers: map[string]int{}}
	for _, w := range known {
		n.numberOf(w)
	}
	return n
}

func (n *numbering) numberOf(word string) int {
	i, ok := n.numbers[word]
	if !ok {
		i = len(n.numbers)
		n.numbers[word] = i
	}
	return i
}

// Reader reads lists. It remembers the numbers that it gave to names, so there is one for the life of the
// process.
type Reader struct {
	mu                  sync.Mutex
	zones, machineTypes *numbering
	fromUnix            func(float64) relay.Seconds
}

// NewReader returns a reader; unix turns Unix time in seconds into the program's.
func NewReader(zones, kinds []string, unix func(float64) relay.Seconds) *Reader {
	return &Reader{zones: newNumbering(zones), machineTypes: newNumbering(kinds), fromUnix: unix}
}

var errMalformedList = errors.New("malformed list")

var lifecycleStates = map[string]relay.EndpointState{"SERVING": relay.Ready, "DRAINING": relay.Draining, "DELETED": relay.Removed}

// Parse reads a list. An entry that can't be read is left out and does not lose the rest, but one that says of a unit
// that it leaves is believed with what can be read of it; of two entries with one id the later holds.
func (r *Reader) Parse(raw []byte) (List, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var w wireList
	if err := json.Unmarshal(raw, &w); err != nil {
		return List{}, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	if w.Generation == nil || len(w.Instances) > maxEndpoints {
		return List{}, fmt.Errorf("%w: %d entries", errMalformedList, len(w.Instances))
	}
	l := List{Generation: *w.Generation, Full: w.Reset}
	at := map[relay.EndpointID]int{}
	for _, raw := range w.Instances {
		line, err := r.parseEndpoint(raw)
		if err != nil {
			l.Unreadable++
			if !line.Partial {
				continue
			}
		}
		if i, twice := at[line.ID]; twice {
			l.Endpoints[i] = line
			continue
		}
		at[line.ID] = len(l.Endpoints)
		l.Endpoints = append(l.Endpoints, line)
	}
	return l, nil
}

func (r *Reader) parseEndpoint(raw []byte) (ListedEndpoint, error) {
	var w wireEndpoint
	fault := json.Unmarshal(raw, &w)
	if fault != nil {
		// Whatever else is wrong with it: a unit that is said to leave gets nothing new.
		var bare struct {
			ID        string `json:"instanceId"`
			Lifecycle string `json:"lifecycle"`
		}
		if json.Unmarshal(raw, &bare) != nil {
			return ListedEndpoint{}, fault
		}
		w = wireEndpoint{ID: bare.ID, Lifecycle: bare.Lifecycle}
	}
	state, known := lifecycleStates[w.Lifecycle]
	if w.ID == "" || !known {
		return ListedEndpoint{}, fmt.Errorf("%w: entry %.40q", errMalformedList, w.ID)
	}
	if _, err := netip.ParseAddrPort(w.HostPort); err != nil && fault == nil && state != relay.Removed {
		fault = fmt.Errorf("%w: address %.40q", errMalformedList, w.HostPort)
	}
	if fault != nil && state == relay.Ready {
		return ListedEndpoint{}, fault
	}
	if fault != nil {
		return ListedEndpoint{Endpoint: relay.Endpoint{ID: endpointID(w.ID), State: state, Partial: true}, Name: w.ID}, fault
	}
	e := relay.Endpoint{ID: endpointID(w.ID), Zone: relay.Zone(r.zones.numberOf(w.Zone)),
		MachineType: relay.MachineType(r.machineTypes.numberOf(w.MachineType)), FailureDomain: relay.FailureDomain(w.FailureDomain), Build: relay.Build(w.Build),
		Weight: float64(w.Weight), State: state}
	if w.StartedMs != 0 {
		e.StartKnown, e.StartedAt = true, r.fromUnix(float64(w.StartedMs)/1000)
	}
	return ListedEndpoint{Endpoint: e, Name: w.ID, Address: w.HostPort}, nil
}

// endpointID numbers a unit by a hash of its id: relays tell one another of units, so all must use one number.
func endpointID(name string) relay.EndpointID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return relay.EndpointID(h.Sum64())
}
