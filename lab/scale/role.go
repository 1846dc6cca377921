package scale

import (
	"math"
	"runtime"
)

// maxHeapsPerRole is the maximum number of instances of a role whose heap is measured.
const maxHeapsPerRole = 12

// The roles, as named in results.
const (
	relayRole      = "relay"
	aggregatorRole = "fuser" // a relay that sent decisions to the others at any time of the run
)

// Role is the resource use of the relays of one role. Rates are per second during which an instance ran.
type Role struct {
	Name          string `json:"name"`
	Instances     int    `json:"instances"`          // number of instances in the fleet
	Hosted        int    `json:"instances_measured"` // number of hosted instances
	HeapsMeasured int    `json:"heaps_measured"`     // number of instances whose heap was measured

	CPUShare        Distribution `json:"cpu_share"`   // share of one core, without handling the first list
	StartCPUSeconds Distribution `json:"start_cpu_s"` // processor seconds for handling the first lists of all incarnations
	HeapMB          Distribution `json:"heap_mb"`
	Traffic                      // datagrams between relays, with UDP and IP headers
	BroadcastsOut   Distribution `json:"broadcasts_out_per_s"` // datagrams to all relays at once
	Membership      Traffic      `json:"membership"`           // datagrams of the membership protocol only
	Lists           Traffic      `json:"lists"`                // polls of discovery and their answers, without TCP overhead
	Platform        Traffic      `json:"news"`                 // lines to and from the platform, without TCP overhead
}

// Traffic is the distribution of messages and bytes per second over instances.
type Traffic struct {
	MessagesIn  Distribution `json:"messages_in_per_s"`
	MessagesOut Distribution `json:"messages_out_per_s"`
	BytesIn     Distribution `json:"bytes_in_per_s"`
	BytesOut    Distribution `json:"bytes_out_per_s"`
}

// newRole summarizes the instances of a role. It discards the state machines of some of them to measure their heap.
func newRole(name string, instances []*hollowRelay) Role {
	population := rolePopulation(instances)
	role := Role{
		Name:            name,
		Instances:       int(math.Round(population.size())),
		Hosted:          len(instances),
		CPUShare:        population.rate(func(m *meter) float64 { return float64(m.processorTime) / 1e9 }),
		StartCPUSeconds: population.distribution(func(m *meter) float64 { return float64(m.startProcessorTime) / 1e9 }),
		Traffic:         population.traffic(policyClass, membershipClass),
		Membership:      population.traffic(membershipClass),
		Lists:           population.traffic(discoveryClass),
		Platform:        population.traffic(platformClass),
		BroadcastsOut: population.rate(func(m *meter) float64 {
			return float64(m.classes[policyClass].broadcasts + m.classes[membershipClass].broadcasts)
		}),
	}
	heaps := measureHeaps(instances)
	role.HeapsMeasured = len(heaps)
	role.HeapMB = distributionOf(heaps)
	return role
}

// rolePopulation is the hosted instances of a role. Each of them represents a number of instances of the fleet.
type rolePopulation []*hollowRelay

// size returns the number of instances of the fleet that the population represents.
func (p rolePopulation) size() float64 {
	size := 0.0
	for _, h := range p {
		size += h.representedRelays()
	}
	return size
}

// distribution returns the weighted distribution of a figure over the instances.
func (p rolePopulation) distribution(figure func(m *meter) float64) Distribution {
	observations := make([]observation, len(p))
	for i, h := range p {
		observations[i] = observation{figure(&h.meter), h.representedRelays()}
	}
	return distributionOf(observations)
}

// rate returns the weighted distribution of a figure per second during which an instance ran.
func (p rolePopulation) rate(figure func(m *meter) float64) Distribution {
	return p.distribution(func(m *meter) float64 { return figure(m) / math.Max(m.aliveSeconds, tick) })
}

// traffic returns the rates of the messages of the given classes together.
func (p rolePopulation) traffic(classes ...class) Traffic {
	rate := func(count func(t *traffic) int64) Distribution {
		return p.rate(func(m *meter) float64 {
			sum := int64(0)
			for _, c := range classes {
				sum += count(&m.classes[c])
			}
			return float64(sum)
		})
	}
	return Traffic{
		MessagesIn:  rate(func(t *traffic) int64 { return t.messagesIn }),
		MessagesOut: rate(func(t *traffic) int64 { return t.messagesOut }),
		BytesIn:     rate(func(t *traffic) int64 { return t.bytesIn }),
		BytesOut:    rate(func(t *traffic) int64 { return t.bytesOut }),
	}
}

// representedRelays returns how many relays of the fleet the instance represents.
func (h *hollowRelay) representedRelays() float64 { return h.weight * h.service.weight }

// measureHeaps returns the heap of some instances in MB. It discards their state machines one by one and measures the memory
// that garbage collection frees. The instances have to be sorted by size of the service, so that the measured ones are spread
// over all sizes.
func measureHeaps(instances []*hollowRelay) []observation {
	var heaps []observation
	var before, after runtime.MemStats
	count := min(len(instances), maxHeapsPerRole)
	runtime.GC()
	for i := range count {
		h := instances[i*len(instances)/count]
		if h.policy == nil {
			continue
		}
		runtime.ReadMemStats(&before)
		h.policy, h.reader = nil, nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		freed := float64(before.HeapAlloc) - float64(after.HeapAlloc)
		heaps = append(heaps, observation{math.Max(freed, 0) / (1 << 20), 1})
	}
	return heaps
}
