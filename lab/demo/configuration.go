package demo

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lichenroad/lab/relayconfig"
)

// addresses are the loopback addresses that the processes listen on.
type addresses struct {
	mapDataWatch, plannerWatch string   // where the release controller publishes the rollout of each service
	votes                      []string // where the release controller receives each relay's votes
	relays                     []string // where each relay accepts requests
}

const addressCount = 2 + 2*relayCount

// splitAddresses assigns addressCount free addresses to their uses.
func splitAddresses(free []string) addresses {
	return addresses{mapDataWatch: free[0], plannerWatch: free[1], votes: free[2 : 2+relayCount], relays: free[2+relayCount:]}
}

// planText returns the release plan. The service map-data is promoted by the clock, and the service planner by the relays'
// votes once map-data has been released.
func planText(a addresses) string {
	var text strings.Builder
	text.WriteString(`<plan version="1" clock-skew="1s" news-life="10s">
  <site name="bole"/><site name="kality"/>
  <group name="pilot"><customer name="dairy"/></group>
  <group name="rest"><customer name="goods"/></group>
`)
	fmt.Fprintf(&text, `  <service name="map-data" watch="%s">
    <votes control="clock" step-time="2s"/>
    <step name="all" share="1" cap="1" least="1s"><open/></step>
  </service>
  <service name="planner" watch="%s" back-for="1s" settle="2s">
    <votes control="share" on="0.6" back="0.3"/>
    <step name="pilot" share="0.17" cap="0.25" least="3s"><open site="bole" group="pilot"/><needs service="map-data"/></step>
    <step name="all" share="1" cap="0.6" least="4s"><open site="bole" group="rest"/><open site="kality"/></step>
`, a.mapDataWatch, a.plannerWatch)
	for i, address := range a.votes {
		fmt.Fprintf(&text, "    <relay name=%q site=%q listen=%q/>\n", relayName(i), relaySite(i), address)
	}
	text.WriteString("  </service>\n</plan>\n")
	return text.String()
}

func relayName(number int) string { return fmt.Sprintf("n%d", number) }

func relaySite(number int) string { return sites[number%len(sites)] }

// relayConfiguration returns the configuration of one relay, with the present endpoint list of discovery.
func (d *demonstration) relayConfiguration(number int, a addresses) relayconfig.File {
	const firstSeed = 11 // of relay 0; each further relay adds one
	return relayconfig.File{
		Name:             relayName(number),
		Listen:           a.relays[number],
		Discovery:        d.discovery.Addr(),
		Seed:             strconv.Itoa(firstSeed + number),
		Platform:         &relayconfig.Platform{Address: a.votes[number]},
		InitialEndpoints: d.discovery.List(),
		Settings:         relaySettings(number),
	}
}

func relaySettings(number int) relayconfig.Settings {
	return relayconfig.Settings{
		Zones:        sites,
		MachineTypes: []string{machineType},
		Zone:         number % len(sites),
		Number:       number,
		Relays:       relayCount,
		Discovery:    "subscribe",
		RequestClasses: []relayconfig.RequestClass{{Name: requestClass, Idempotency: "retryable", LatencyObjective: 300 * time.Millisecond,
			Deadline: time.Second, PriorityWeight: 1}},
		Tenants: []relayconfig.Tenant{
			{Name: tenants[0], Share: 0.4, QuotaPerSecond: 1000},
			{Name: tenants[1], Share: 0.4, QuotaPerSecond: 1000},
			{Name: tenants[2], Share: 0.2, QuotaPerSecond: 1000},
		},
		Limits: relayconfig.PolicyLimits{Cancel: true, IdleTimeout: 30 * time.Second, DialTimeout: 250 * time.Millisecond, MaxAttempts: 3,
			RetryAfterAllowed: true, MaxRetryAfter: time.Second},
		LoadReport: relayconfig.LoadReport{Via: "off"},
		Rules:      relayconfig.Rules{DrainGrace: 250 * time.Millisecond, PollInterval: 10 * time.Second},
		Rollout: relayconfig.Rollout{CallTimeout: 500 * time.Millisecond, ExposureLimits: []float64{0.25, 0.6}, FleetShares: []float64{0.17, 1},
			UncountedAttempts: 1, ExposureWindow: 2 * time.Second, DecidedBy: "by_count", VotesToPromote: 2, VotesToRollBack: 1,
			VoteLifetime: 10 * time.Second, VotesPerSecond: 100, MinStepDuration: 2 * time.Second},
	}
}
