package discovery

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"strconv"

	"lichenroad/relay"
)

// wireList is a list in the JSON form of the discovery service. Entries are decoded individually, because any of them may
// be malformed.
type wireList struct {
	Generation *int64            `json:"generation"`
	Reset      bool              `json:"reset"`
	Instances  []json.RawMessage `json:"instances"`
}

// wireEndpoint is an entry of a list in JSON form.
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

// lifecycleStates maps the lifecycle field of an entry to the state of the endpoint.
var lifecycleStates = map[string]relay.EndpointState{
	"SERVING":  relay.Ready,
	"DRAINING": relay.Draining,
	"DELETED":  relay.Removed,
}

// decodeEndpoint decodes an entry. If some of its fields are malformed, fault is set and only the id and the lifecycle are
// decoded: a leaving endpoint must get no new requests, whatever else is wrong with its entry. If the id or the lifecycle
// is malformed too, err is set.
func decodeEndpoint(raw []byte) (entry wireEndpoint, fault, err error) {
	fault = json.Unmarshal(raw, &entry)
	if fault == nil {
		return entry, nil, nil
	}
	var bare struct {
		ID        string `json:"instanceId"`
		Lifecycle string `json:"lifecycle"`
	}
	if json.Unmarshal(raw, &bare) != nil {
		return wireEndpoint{}, fault, fault
	}
	return wireEndpoint{ID: bare.ID, Lifecycle: bare.Lifecycle}, fault, nil
}

// quotableNumber is a JSON number that may be enclosed in quotes.
type quotableNumber float64

// UnmarshalJSON implements json.Unmarshaler.
func (n *quotableNumber) UnmarshalJSON(raw []byte) error {
	value, err := strconv.ParseFloat(string(bytes.Trim(raw, `"`)), 64)
	*n = quotableNumber(value)
	return err
}

// numbering assigns numbers to names. Names that are known at the start are numbered by their position, others in the order
// in which they first occur.
type numbering struct{ numbers map[string]int }

func newNumbering(known []string) *numbering {
	n := &numbering{numbers: map[string]int{}}
	for _, name := range known {
		n.numberOf(name)
	}
	return n
}

func (n *numbering) numberOf(name string) int {
	number, known := n.numbers[name]
	if !known {
		number = len(n.numbers)
		n.numbers[name] = number
	}
	return number
}

// endpointID derives the id of an endpoint from a hash of its name. Relays send these ids to each other, so all relays must
// assign the same id.
func endpointID(name string) relay.EndpointID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // writing to a hash never fails
	return relay.EndpointID(hash.Sum64())
}
