package discovery

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"strconv"

	"lichenroad/relay"
)

// wireList is a list in the discovery service's JSON form. Its entries are decoded one by one, as each may be malformed.
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

// lifecycleStates are the states by their names in an entry.
var lifecycleStates = map[string]relay.EndpointState{
	"SERVING":  relay.Ready,
	"DRAINING": relay.Draining,
	"DELETED":  relay.Removed,
}

// decodeEndpoint decodes an entry. Where something in it is malformed (fault), id and lifecycle alone are decoded, as an
// endpoint that leaves gets no new requests, whatever else is wrong with its entry; err says that even those could not be.
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

// quotableNumber is a JSON number that may stand in quotes.
type quotableNumber float64

// UnmarshalJSON implements json.Unmarshaler.
func (n *quotableNumber) UnmarshalJSON(raw []byte) error {
	value, err := strconv.ParseFloat(string(bytes.Trim(raw, `"`)), 64)
	*n = quotableNumber(value)
	return err
}

// numbering gives numbers to names: to those of the settings by their place there, to others as they come.
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

// endpointID numbers an endpoint by a hash of its name: relays tell one another of endpoints, so all must use one number.
func endpointID(name string) relay.EndpointID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash never fails
	return relay.EndpointID(hash.Sum64())
}
