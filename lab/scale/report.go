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
	Name      string `json:"name"`
	Instances int    `json:"instances"`          // of the fleet
	Measured  int    `json:"instances_measured"` // that were hosted whole
	HeapsOf   int    `json:"heaps_measured"`

	CPUShare      Distribution `json:"cpu_share"`   // of one core, without the first list
	StartSeconds  Distribution `json:"start_cpu_s"` // processor time of the first list of each life
	HeapMB        Distribution `json:"heap_mb"`
	Traffic                    // datagrams between relays, with the headers of UDP and IP
	BroadcastsOut Distribution `json:"broadcasts_out_per_s"` // of the messages out, those to all relays at once
	Membership    Traffic      `json:"membership"`           // of the datagrams, those of the membership protocol
	Lists         Traffic      `json:"lists"`                // discovery, without TCP's overhead
	News          Traffic      `json:"news"`                 // the platform, without TCP's overhead
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
	Releases     int     `json:"releases"`
	Bad          int     `json:"bad"`
	BadForOne    int     `json:"bad_for_one_service"`
	BadBack      int     `json:"bad_sent_back"`
	BackP50      float64 `json:"seconds_to_back_p50"`
	BackP90      float64 `json:"seconds_to_back_p90"`
	BadStayed    int     `json:"bad_stayed"` // released, or still there when the next one came
	GoodBack     int     `json:"good_sent_back"`
	GoodReleased int     `json:"good_released"`
	Open         int     `json:"open_at_the_end"`
}

// Faults are what the faults of a run did.
type Faults struct {
	faultCounts
	Datagrams networkCounts `json:"datagrams"`
}

// Result is a run's figures.
type Result struct {
	Options       Options       `json:"options"`
	Services      int           `json:"services_played"`
	Relays        int           `json:"relays_played"`
	Hosted        int           `json:"instances_measured"`
	Roles         []Role        `json:"roles"`
	Decisions     Decisions     `json:"decisions"`
	Releases      []Release     `json:"releases"`
	Requests      requestCounts `json:"requests"`
	ListsRefused  int           `json:"lists_refused"` // by the real reader, as too long
	Unreadable    int           `json:"unreadable"`
	UnknownUnits  int           `json:"unknown_units"`
	ToldByPeers   int           `json:"units_told_by_peers"` // as having left, before discovery told
	Faults        Faults        `json:"faults"`
	BrokenCount   int           `json:"broken_count"`
	Broken        []Broken      `json:"broken"`
	ColdChecked   bool          `json:"cold_checked"` // every relay was hosted, so that the work at cold units is known
	ProcessPeakMB float64       `json:"process_peak_mb"`
	WallSeconds   float64       `json:"wall_s"`
	GCSeconds     float64       `json:"gc_cpu_s"` // of the collector's own threads, up to the end of the virtual time
}

const (
	mostBroken     = 200 // broken rules in a result
	mostHeaps      = 12  // instances of a role whose heap is measured, if there are more
	memoryLimitPct = 90  // of the bound, from which on the collector works harder
)

// The roles.
const (
	relayRole = "relay"
	fuserRole = "fuser" // it told the others what it finds, at any time of the run
)

// Run plays a fleet.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	begun, collected := time.Now(), collectorSeconds()
	before := debug.SetMemoryLimit(mostMemoryMB << 20 * memoryLimitPct / 100)
	defer debug.SetMemoryLimit(before)
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	if err := w.run(ctx); err != nil {
		return nil, err
	}
	collected = collectorSeconds() - collected
	r := w.result()
	r.GCSeconds = collected
	r.WallSeconds = time.Since(begun).Seconds()
	r.ProcessPeakMB = peakMemoryMB()
	return r, nil
}

func (w *world) result() *Result {
	r := &Result{Options: w.options, Services: len(w.services), Relays: len(w.relays), ColdChecked: !w.sampled,
		BrokenCount: w.coldCount, Broken: append([]Broken{}, w.coldBroken...)}
	r.Faults = Faults{w.faultCounts, w.network.counts}
	roles := map[string][]*hollow{}
	for _, h := range w.hollows {
		if h == nil {
			continue
		}
		role := relayRole
		if h.meter.fused {
			role = fuserRole
		}
		roles[role] = append(roles[role], h)
		r.take(h)
	}
	for _, name := range []string{relayRole, fuserRole} {
		if len(roles[name]) > 0 {
			r.Roles = append(r.Roles, newRole(name, roles[name]))
		}
	}
	r.decide(w.services)
	slices.SortStableFunc(r.Broken, func(a, b Broken) int {
		switch {
		case a.Time < b.Time:
			return -1
		case a.Time > b.Time:
			return 1
		}
		return 0
	})
	r.Broken = r.Broken[:min(len(r.Broken), mostBroken)]
	return r
}

// take adds one instance to the totals.
func (r *Result) take(h *hollow) {
	r.Hosted++
	for _, q := range h.requests {
		if !q.over {
			h.meter.requests.Open++
		}
	}
	r.Requests.add(h.meter.requests)
	r.ListsRefused += h.meter.listsRefused
	r.Unreadable += h.meter.unreadable
	r.UnknownUnits += h.unknown
	r.ToldByPeers += h.meter.toldByPeers
	r.BrokenCount += h.checker.count
	r.Broken = append(r.Broken, h.checker.broken...)
}

func newRole(name string, list []*hollow) Role {
	r := Role{Name: name, Measured: len(list)}
	over := func(figure func(m *meter) float64) Distribution {
		var out []observation
		for _, h := range list {
			out = append(out, observation{figure(&h.meter), h.standsFor()})
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
	r.Traffic = of(verdictClass, membershipClass)
	r.Membership, r.Lists, r.News = of(membershipClass), of(listClass), of(newsClass)
	r.BroadcastsOut = rate(func(m *meter) int64 {
		return m.classes[verdictClass].broadcasts + m.classes[membershipClass].broadcasts
	})

	instances := 0.0
	for _, h := range list {
		instances += h.standsFor()
	}
	r.Instances = int(math.Round(instances))
	r.CPUShare = over(func(m *meter) float64 { return float64(m.processor) / 1e9 / math.Max(m.aliveSeconds, tick) })
	r.StartSeconds = over(func(m *meter) float64 { return float64(m.startProcessor) / 1e9 })
	heaps := measureHeaps(list)
	r.HeapsOf, r.HeapMB = len(heaps), distribute(heaps)
	return r
}

// standsFor is how many relays of the fleet the instance stands for.
func (h *hollow) standsFor() float64 { return h.weight * h.service.weight }

// measureHeaps drops some instances' state machines, one by one, and sees how much less is held. The list is in the
// order of services, the largest first, so that it is spread over their sizes.
func measureHeaps(list []*hollow) (out []observation) {
	n := min(len(list), mostHeaps)
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
			back := x.BackAfter >= 0
			switch {
			case x.Bad && back:
				d.BadBack++
				took = append(took, x.BackAfter)
			case x.Bad && x.Ended:
				d.BadStayed++
			case !x.Bad && back:
				d.GoodBack++
			case !x.Bad && x.ReleasedAfter >= 0:
				d.GoodReleased++
			case !x.Ended:
				d.Open++
			}
			if x.Bad {
				d.Bad++
				if x.Kind == badForOne.String() {
					d.BadForOne++
				}
			}
		}
	}
	slices.Sort(took)
	d.BackP50, d.BackP90 = quantile(took, 0.5), quantile(took, 0.9)
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
		o.Shape, o.Relays, o.Units, len(o.sizes()), o.Seconds, o.Seed, r.Services, r.Relays, r.Hosted)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "ROLE\tINSTANCES\tMEASURED\tFIGURE\tMEAN\tP99\tMOST\t")
	for i := range r.Roles {
		role := &r.Roles[i]
		for _, row := range role.rows() {
			fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%.4g\t%.4g\t%.4g\t\n", role.Name, role.Instances, role.Measured, row.name,
				row.figure.Mean, row.figure.P99, row.figure.Most)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	d, q, f := &r.Decisions, &r.Requests, &r.Faults
	fmt.Fprintf(out, "releases: %d, %d bad (%d for one service alone): %d sent back after %.1f s (p50) and %.1f s (p90), %d stayed; good: %d released, %d sent back; %d open at the end\n",
		d.Releases, d.Bad, d.BadForOne, d.BadBack, d.BackP50, d.BackP90, d.BadStayed, d.GoodReleased, d.GoodBack, d.Open)
	fmt.Fprintf(out, "requests: %d taken, %d honoured, %d denied, %d written off, %d left unanswered, %d open at the end, %d attempts\n",
		q.Taken, q.Honoured, q.Denied, q.WroteOff, q.Left, q.Open, q.Attempts)
	fmt.Fprintf(out, "faults: %d relays killed, %d restarted, %d units lost; datagrams: %d delivered, %d lost, %d twice, %d late, %d cut off\n",
		f.Kills, f.Restarts, f.UnitsLost, f.Datagrams.Delivered, f.Datagrams.Lost, f.Datagrams.Duplicated, f.Datagrams.Late,
		f.Datagrams.Cut)
	if r.ListsRefused > 0 {
		fmt.Fprintf(out, "lists refused as too long by the real reader, and read in parts: %d\n", r.ListsRefused)
	}
	fmt.Fprintf(out, "process: %.0f MB at most, %.1f s, %.1f s of the collector's threads\nbroken: %d\n", r.ProcessPeakMB, r.WallSeconds,
		r.GCSeconds, r.BrokenCount)
	for _, b := range r.Broken[:min(len(r.Broken), keptPerRelay)] {
		fmt.Fprintf(out, "broken: %s at %.3f s by %s: %s\n", b.Rule, b.Time, b.Instance, b.Detail)
	}
	return nil
}

type tableRow struct {
	name   string
	figure Distribution
}

func (r *Role) rows() []tableRow {
	out := []tableRow{{"cpu_share", r.CPUShare}, {"start_cpu_s", r.StartSeconds}, {"heap_mb", r.HeapMB}}
	out = append(out, r.Traffic.rows("")...)
	out = append(out, tableRow{"broadcasts_out_per_s", r.BroadcastsOut})
	out = append(out, r.Membership.rows("membership_")...)
	out = append(out, r.Lists.rows("list_")...)
	return append(out, r.News.rows("news_")...)
}

func (t *Traffic) rows(prefix string) []tableRow {
	return []tableRow{
		{prefix + "messages_in_per_s", t.MessagesIn}, {prefix + "messages_out_per_s", t.MessagesOut},
		{prefix + "bytes_in_per_s", t.BytesIn}, {prefix + "bytes_out_per_s", t.BytesOut},
	}
}
