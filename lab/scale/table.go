package scale

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the figures to out as text. It returns an error if writing fails.
func (r *Result) WriteTable(out io.Writer) error {
	var text bytes.Buffer // writing to it never fails
	r.formatHead(&text)
	if err := r.formatRoles(&text); err != nil {
		return err
	}
	r.formatTotals(&text)
	r.formatViolations(&text)
	_, err := out.Write(text.Bytes())
	return err
}

func (r *Result) formatHead(text *bytes.Buffer) {
	o := &r.Options
	fmt.Fprintf(text, "%s: %d relays, %d units, %d services, %g s, seed %d; played %d services with %d relays, %d of them measured\n",
		o.Shape, o.Relays, o.Endpoints, len(o.sizes()), o.Seconds, o.Seed, r.Services, r.Relays, r.Hosted)
}

func (r *Result) formatRoles(text *bytes.Buffer) error {
	table := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "ROLE\tINSTANCES\tMEASURED\tFIGURE\tMEAN\tP99\tMOST\t")
	for i := range r.Roles {
		role := &r.Roles[i]
		for _, row := range role.rows() {
			fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%.4g\t%.4g\t%.4g\t\n", role.Name, role.Instances, role.Hosted, row.name,
				row.figure.Mean, row.figure.P99, row.figure.Max)
		}
	}
	return table.Flush()
}

func (r *Result) formatTotals(text *bytes.Buffer) {
	releases, requests, faults := &r.ReleaseSummary, &r.Requests, &r.Faults
	fmt.Fprintf(text, "releases: %d, %d bad (%d for one service alone): %d sent back after %.1f s (p50) and %.1f s (p90), %d stayed; ",
		releases.Releases, releases.Bad, releases.BadForOneService, releases.BadRolledBack, releases.RollBackP50,
		releases.RollBackP90, releases.BadNotRolledBack)
	fmt.Fprintf(text, "good: %d released, %d sent back; %d open at the end\n", releases.GoodReleased, releases.GoodRolledBack,
		releases.Open)
	fmt.Fprintf(text, "requests: %d taken, %d honoured, %d denied, %d written off, %d left unanswered, %d open at the end, %d attempts\n",
		requests.Received, requests.Succeeded, requests.Rejected, requests.Failed, requests.ClientsDisconnected, requests.Open,
		requests.Attempts)
	fmt.Fprintf(text, "faults: %d relays killed, %d restarted, %d units lost; ", faults.Kills, faults.Restarts, faults.EndpointsLost)
	datagrams := &faults.Datagrams
	fmt.Fprintf(text, "datagrams: %d delivered, %d lost, %d twice, %d late, %d cut off\n", datagrams.Delivered, datagrams.Lost,
		datagrams.Duplicated, datagrams.Reordered, datagrams.Partitioned)
	if r.ListsRejected > 0 {
		fmt.Fprintf(text, "lists refused as too long by the real reader, and read in parts: %d\n", r.ListsRejected)
	}
	fmt.Fprintf(text, "process: %.0f MB at most, %.1f s, %.1f s of the collector's threads\n", r.ProcessPeakMB, r.WallSeconds, r.GCSeconds)
}

func (r *Result) formatViolations(text *bytes.Buffer) {
	fmt.Fprintf(text, "broken: %d\n", r.ViolationCount)
	for _, v := range r.Violations[:min(len(r.Violations), maxViolationsPerRelay)] {
		fmt.Fprintf(text, "broken: %s at %.3f s by %s: %s\n", v.Rule, v.Time, v.Instance, v.Detail)
	}
}

// tableRow is the distribution of one figure of a role.
type tableRow struct {
	name   string
	figure Distribution
}

func (r *Role) rows() []tableRow {
	rows := []tableRow{{"cpu_share", r.CPUShare}, {"start_cpu_s", r.StartCPUSeconds}, {"heap_mb", r.HeapMB}}
	rows = append(rows, r.Traffic.rows("")...)
	rows = append(rows, tableRow{"broadcasts_out_per_s", r.BroadcastsOut})
	rows = append(rows, r.Membership.rows("membership_")...)
	rows = append(rows, r.Lists.rows("list_")...)
	return append(rows, r.Platform.rows("news_")...)
}

func (t *Traffic) rows(prefix string) []tableRow {
	return []tableRow{
		{prefix + "messages_in_per_s", t.MessagesIn},
		{prefix + "messages_out_per_s", t.MessagesOut},
		{prefix + "bytes_in_per_s", t.BytesIn},
		{prefix + "bytes_out_per_s", t.BytesOut},
	}
}
