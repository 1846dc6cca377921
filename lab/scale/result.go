package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"runtime/debug"
	"slices"
	"text/tabwriter"
	"time"
)

// Role is what relays of one kind used, over instances. Rates are per second of an instance's life.
type Role struct {
	Name          string `json:"name"`
	Instances     int    `json:"instances"`          // of the fleet
	Measured      int    `json:"instances_measured"` // that were hosted whole
	HeapsMeasured int    `json:"heaps_measured"`

	CPUShare        Distribution `json:"cpu_share"`   // of one core, without the first list
	StartCPUSeconds Distribution `json:"start_cpu_s"` // processor time of the first list of each life
	HeapMB          Distribution `json:"heap_mb"`
	Traffic                      // datagrams between relays, with the headers of UDP and IP
	BroadcastsOut   Distribution `json:"broadcasts_out_per_s"` // of the messages out, those to all relays at once
	Membership      Traffic      `json:"membership"`           // of the datagrams, those of the membership protocol
	Lists           Traffic      `json:"lists"`                // discovery, without TCP's overhead
	Platform        Traffic      `json:"news"`                 // the platform, without TCP's overhead
}

// Traffic is what instances took and sent a second.
type Traffic struct {
	MessagesIn  Distribution `json:"messages_in_per_s"`
	MessagesOut Distribution `json:"messages_out_per_s"`
	BytesIn     Distribution `json:"bytes_in_per_s"`
	BytesOut    Distribution `json:"bytes_out_per_s"`
}

// Decisions are the releases of the played services.
type Decisions struct {
	Releases       int     `json:"releases"`
	Bad            int     `json:"bad"`
	BadForOne      int     `json:"bad_for_one_service"`
	BadRolledBack  int     `json:"bad_sent_back"`
	RollBackP50    float64 `json:"seconds_to_back_p50"`
	RollBackP90    float64 `json:"seconds_to_back_p90"`
	BadStayed      int     `json:"bad_stayed"` // released, or still there when the next one came
	GoodRolledBack int     `json:"good_sent_back"`
	GoodReleased   int     `json:"good_released"`
	Open           int     `json:"open_at_the_end"`
}

// Faults are what the faults of a run did.
type Faults struct {
	faultCounts
	Datagrams networkCounts `json:"datagrams"`
}

// Result is a run's figures.
type Result struct {
	Options          Options       `json:"options"`
	Services         int           `json:"services_played"`
	Relays           int           `json:"relays_played"`
	Hosted           int           `json:"instances_measured"`
	Roles            []Role        `json:"roles"`
	Decisions        Decisions     `json:"decisions"`
	Releases         []Release     `json:"releases"`
	Requests         requestCounts `json:"requests"`
	ListsRejected    int           `json:"lists_refused"` // by the real reader, as too long
	Unreadable       int           `json:"unreadable"`
	UnknownEndpoints int           `json:"unknown_units"`
	RemovedByPeers   int           `json:"units_told_by_peers"` // as having left, before discovery told
	Faults           Faults        `json:"faults"`
	ViolationCount   int           `json:"broken_count"`
	Violations       []Violation   `json:"broken"`
	SlowStartChecked bool          `json:"cold_checked"` // every relay was hosted, so that the work at cold units is known
	ProcessPeakMB    float64       `json:"process_peak_mb"`
	WallSeconds      float64       `json:"wall_s"`
	GCSeconds        float64       `json:"gc_cpu_s"` // of the collector's own threads, up to the end of the virtual time
}

const (
	maxViolations   = 200 // broken rules in a result
	maxHeapsPerRole = 12  // instances of a role whose heap is measured, if there are more
	memoryLimitPct  = 90  // of the bound, from which on the collector works harder
)

// The roles.
const (
	relayRole      = "relay"
	aggregatorRole = "fuser" // it told the others what it finds, at any time of the run
)

// Run plays a fleet.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	begun, collected := time.Now(), collectorSeconds()
	before := debug.SetMemoryLimit(maxMemoryMB << 20 * memoryLimitPct / 100)
	defer debug.SetMemoryLimit(before)
	sim, err := newSimulation(o)
	if err != nil {
		return nil, err
	}
	if err := sim.run(ctx); err != nil {
		return nil, err
	}
	collected = collectorSeconds() - collected
	r := sim.result()
	r.GCSeconds = collected
	r.WallSeconds = time.Since(begun).Seconds()
	r.ProcessPeakMB = peakMemoryMB()
	return r, nil
}

func (sim *simulation) result() *Result {
	r := &Result{Options: sim.options, Services: len(sim.services), Relays: len(sim.relays), SlowStartChecked: !sim.sampled,
		ViolationCount: sim.slowStartViolationCount, Violations: append([]Violation{}, sim.slowStartViolations...)}
	r.Faults = Faults{sim.faultCounts, sim.network.counts}
	roles := map[string][]*hollowRelay{}
	for _, h := range sim.hollowRelays {
		if h == nil {
			continue
		}
		role := relayRole
		if h.meter.aggregated {
			role = aggregatorRole
		}
		roles[role] = append(roles[role], h)
		r.take(h)
	}
	for _, name := range []string{relayRole, aggregatorRole} {
		if len(roles[name]) > 0 {
			r.Roles = append(r.Roles, newRole(name, roles[name]))
		}
	}
	r.decide(sim.services)
	slices.SortStableFunc(r.Violations, func(a, b Violation) int {
		switch {
		case a.Time < b.Time:
			return -1
		case a.Time > b.Time:
			return 1
		}
		return 0
	})
	r.Violations = r.Violations[:min(len(r.Violations), maxViolations)]
	return r
}

// take adds one instance to the totals.
func (r *Result) take(h *hollowRelay) {
	r.Hosted++
	for _, q := range h.requests {
		if !q.finished {
			h.meter.requests.Open++
		}
	}
	r.Requests.add(h.meter.requests)
	r.ListsRejected += h.meter.listsRejected
	r.Unreadable += h.meter.unreadable
	r.UnknownEndpoints += h.unknownEndpoints
	r.RemovedByPeers += h.meter.removedByPeers
	r.ViolationCount += h.checker.count
	r.Violations = append(r.Violations, h.checker.violations...)
}

func newRole(name string, list []*hollowRelay) Role {
	r := Role{Name: name, Measured: len(list)}
	over := func(figure func(m *meter) float64) Distribution {
		var out []observation
		for _, h := range list {
			out = append(out, observation{figure(&h.meter), h.represents()})
		}
		return distribute(out)
	}
	rate := func(count func(m *meter) int64) Distribution {
		return over(func(m *meter) float64 { return float64(count(m)) / math.Max(m.aliveSeconds, tick) })
	}
	of := func(list ...class) Traffic {
		sum := func(count func(t *traffic) int64) Distribution {
			return rate(func(m *meter) (n int64) {
				for _, c := range list {
					n += count(&m.classes[c])
				}
				return n
			})
		}
		return Traffic{
			MessagesIn:  sum(func(t *traffic) int64 { return t.messagesIn }),
			MessagesOut: sum(func(t *traffic) int64 { return t.messagesOut }),
			BytesIn:     sum(func(t *traffic) int64 { return t.bytesIn }),
			BytesOut:    sum(func(t *traffic) int64 { return t.bytesOut }),
		}
	}
	r.Traffic = of(policyClass, membershipClass)
	r.Membership, r.Lists, r.Platform = of(membershipClass), of(discoveryClass), of(platformClass)
	r.BroadcastsOut = rate(func(m *meter) int64 {
		return m.classes[policyClass].broadcasts + m.classes[membershipClass].broadcasts
	})

	instances := 0.0
	for _, h := range list {
		instances += h.represents()
	}
	r.Instances = int(math.Round(instances))
	r.CPUShare = over(func(m *meter) float64 { return float64(m.processorTime) / 1e9 / math.Max(m.aliveSeconds, tick) })
	r.StartCPUSeconds = over(func(m *meter) float64 { return float64(m.startProcessorTime) / 1e9 })
	heaps := measureHeaps(list)
	r.HeapsMeasured, r.HeapMB = len(heaps), distribute(heaps)
	return r
}

// represents is how many relays of the fleet the instance stands for.
func (h *hollowRelay) represents() float64 { return h.weight * h.service.weight }

// measureHeaps drops some instances' state machines, one by one, and sees how much less is held. The list is in the
// order of services, the largest first, so that it is spread over their sizes.
func measureHeaps(list []*hollowRelay) (out []observation) {
	n := min(len(list), maxHeapsPerRole)
	var before, after runtime.MemStats
	runtime.GC()
	for i := range n {
		h := list[i*len(list)/n]
		if h.policy == nil {
			continue
		}
		runtime.ReadMemStats(&before)
		h.policy, h.reader = nil, nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := float64(before.HeapAlloc) - float64(after.HeapAlloc)
		out = append(out, observation{math.Max(held, 0) / (1 << 20), 1})
	}
	return out
}

// decide sums the releases up.
func (r *Result) decide(services []*service) {
	var took []float64
	d := &r.Decisions
	for _, s := range services {
		for _, x := range s.platform.releases {
			r.Releases = append(r.Releases, x)
			d.Releases++
			back := x.RolledBackAfter >= 0
			switch {
			case x.Bad && back:
				d.BadRolledBack++
				took = append(took, x.RolledBackAfter)
			case x.Bad && x.Ended:
				d.BadStayed++
			case !x.Bad && back:
				d.GoodRolledBack++
			case !x.Bad && x.ReleasedAfter >= 0:
				d.GoodReleased++
			case !x.Ended:
				d.Open++
			}
			if x.Bad {
				d.Bad++
				if x.Kind == badForOneService.String() {
					d.BadForOne++
				}
			}
		}
	}
	slices.Sort(took)
	d.RollBackP50, d.RollBackP90 = quantile(took, 0.5), quantile(took, 0.9)
}

// quantile is the least value that at least a part does not exceed; 0 where there is none.
func quantile(sorted []float64, part float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(part*float64(len(sorted))))-1)]
}

// WriteTable writes the figures for a reader.
func (r *Result) WriteTable(out io.Writer) error {
	o := &r.Options
	fmt.Fprintf(out, "%s: %d relays, %d units, %d services, %g s, seed %d; played %d services with %d relays, %d of them measured\n",
		o.Shape, o.Relays, o.Endpoints, len(o.sizes()), o.Seconds, o.Seed, r.Services, r.Relays, r.Hosted)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "ROLE\tINSTANCES\tMEASURED\tFIGURE\tMEAN\tP99\tMOST\t")
	for i := range r.Roles {
		role := &r.Roles[i]
		for _, row := range role.rows() {
			fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%.4g\t%.4g\t%.4g\t\n", role.Name, role.Instances, role.Measured, row.name,
				row.figure.Mean, row.figure.P99, row.figure.Max)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	d, q, f := &r.Decisions, &r.Requests, &r.Faults
	fmt.Fprintf(out, "releases: %d, %d bad (%d for one service alone): %d sent back after %.1f s (p50) and %.1f s (p90), %d stayed; good: %d released, %d sent back; %d open at the end\n",
		d.Releases, d.Bad, d.BadForOne, d.BadRolledBack, d.RollBackP50, d.RollBackP90, d.BadStayed, d.GoodReleased, d.GoodRolledBack, d.Open)
	fmt.Fprintf(out, "requests: %d taken, %d honoured, %d denied, %d written off, %d left unanswered, %d open at the end, %d attempts\n",
		q.Received, q.Succeeded, q.Rejected, q.Failed, q.ClientsDisconnected, q.Open, q.Attempts)
	fmt.Fprintf(out, "faults: %d relays killed, %d restarted, %d units lost; datagrams: %d delivered, %d lost, %d twice, %d late, %d cut off\n",
		f.Kills, f.Restarts, f.EndpointsLost, f.Datagrams.Delivered, f.Datagrams.Lost, f.Datagrams.Duplicated, f.Datagrams.Reordered,
		f.Datagrams.Partitioned)
	if r.ListsRejected > 0 {
		fmt.Fprintf(out, "lists refused as too long by the real reader, and read in parts: %d\n", r.ListsRejected)
	}
	fmt.Fprintf(out, "process: %.0f MB at most, %.1f s, %.1f s of the collector's threads\nbroken: %d\n", r.ProcessPeakMB, r.WallSeconds,
		r.GCSeconds, r.ViolationCount)
	for _, b := range r.Violations[:min(len(r.Violations), maxViolationsPerRelay)] {
		fmt.Fprintf(out, "broken: %s at %.3f s by %s: %s\n", b.Rule, b.Time, b.Instance, b.Detail)
	}
	return nil
}

type tableRow struct {
	name   string
	figure Distribution
}

func (r *Role) rows() []tableRow {
	out := []tableRow{{"cpu_share", r.CPUShare}, {"start_cpu_s", r.StartCPUSeconds}, {"heap_mb", r.HeapMB}}
	out = append(out, r.Traffic.rows("")...)
	out = append(out, tableRow{"broadcasts_out_per_s", r.BroadcastsOut})
	out = append(out, r.Membership.rows("membership_")...)
	out = append(out, r.Lists.rows("list_")...)
	return append(out, r.Platform.rows("news_")...)
}

func (t *Traffic) rows(prefix string) []tableRow {
	return []tableRow{
		{prefix + "messages_in_per_s", t.MessagesIn}, {prefix + "messages_out_per_s", t.MessagesOut},
		{prefix + "bytes_in_per_s", t.BytesIn}, {prefix + "bytes_out_per_s", t.BytesOut},
	}
}
