package compat_test

import (
	"fmt"
	"strings"
)

// scenario holds what differs between the simulated sessions: the settings, and the behaviour of the emulated deployment.
type scenario struct {
	name   string
	seed   uint64
	relays int      // relays of the fleet; those that are not hosted are emulated
	hosted []uint16 // my_number of the hosted instances

	discovery          string // subscribe or automatic
	reports            string // inline, on_probe or off
	control            string // first_voice, by_count or automatic
	countedBy          string // all or each_class
	replacement        string // parallel or replace
	cancelAttempts     bool
	peerMessages       bool
	hedgedRequests     bool
	retryAfter         bool
	stickyKeys         bool
	tenants            bool
	objectivePerWork   float64
	failureRate        float64 // share of attempts that fail, with any of failedOutcomes
	badBuild           bool    // the new build fails half of its attempts
	overload           bool    // endpoints respond late and reject requests
	restarts           bool    // an instance is stopped and started again
	malformedDatagrams bool    // peers send malformed datagrams too
	minimalSettings    bool    // settings without anything optional
}

var scenarios = []scenario{
	{name: "good-build", seed: 1, relays: 8, hosted: []uint16{0, 1, 5}, discovery: "subscribe", reports: "on_probe", control: "by_count",
		countedBy: "all", replacement: "parallel", cancelAttempts: true, peerMessages: true, hedgedRequests: true, retryAfter: true, tenants: true, failureRate: 0.04,
		restarts: true, malformedDatagrams: true},
	{name: "bad-build", seed: 2, relays: 6, hosted: []uint16{0, 2, 4}, discovery: "automatic", reports: "inline", control: "first_voice",
		countedBy: "each_class", replacement: "replace", cancelAttempts: true, peerMessages: true, retryAfter: true, stickyKeys: true, tenants: true, failureRate: 0.02,
		badBuild: true},
	{name: "clock-and-overload", seed: 3, relays: 4, hosted: []uint16{0, 3}, discovery: "subscribe", reports: "off", control: "automatic",
		countedBy: "all", replacement: "parallel", peerMessages: true, hedgedRequests: true, objectivePerWork: 1.5, failureRate: 0.1, overload: true, malformedDatagrams: true},
	{name: "alone-and-silent", seed: 4, relays: 1, hosted: []uint16{0}, discovery: "automatic", reports: "inline", control: "first_voice",
		countedBy: "all", replacement: "parallel", failureRate: 0.05, minimalSettings: true},
}

// Request classes, in the order of the settings.
const (
	classRetryable = iota
	classStreamed
	classKeyedZone
	classFragile
	classKeyedAll
	classKeyedCell
	classCount
)

// deadlines are those of requests by class, in nanoseconds.
var deadlines = [classCount]uint64{2_500_000_000, 4_000_000_000, 3_000_000_000, 2_000_000_000, 2_500_000_000, 2_500_000_000}

// settings returns the settings object of an instance, in JSON.
func (s scenario) settings(number uint16) string {
	if s.minimalSettings {
		return fmt.Sprintf(`{"my_number":%d,"replicas_of_me":%d,"grades":[%s]}`, number, s.relays, s.classes())
	}
	tenants := ""
	if s.tenants {
		tenants = `{"name":"one","quota_per_s":52,"share":0.5},{"name":"two","quota_per_s":30,"share":0.3},{"name":"three","quota_per_s":20,"share":0.2}`
	}
	return fmt.Sprintf(`{"areas":["north","south"],"az":%d,"client_habits":{"marks_retry":true},"discovery":%q,"family":"rollout",
"family_info":{"ballot_ttl":6000000000,"call_timeout":800000000,"counted_by":%q,"decided_by":%q,"exposure_caps":[0.15,0.5,1.0],
"guarded_stages":1,"harm_price":4.0,"lag_fee":0.45,"metrics_period":1000000000,"min_dwell":2000000000,"moves_after":3000000000,
"no_return":%t,"repeat_every":4000000000,"reported_share":0.1,"span":2000000000,"swap":%q,"tally_sample":0.5,"to_abort":2,
"to_advance":2,"uncounted":1.0,"votes_per_s":200.0,"votes_to_hold":2,"waves":[0.2,0.5,1.0]},
"grades":[%s],"kinds":["fast","plain"],"my_number":%d,"over_share_worth":0.2,
"penalties":{"cross_zone":0.02,"late_fail":0.03,"peer":0.01,"probe":0.01,"waste":0.05},
"policy_limits":{"cancel":%t,"conn_idle":30000000000,"dial_timeout":250000000,"max_attempts":3,"max_retry_after":1000000000,
"may_tell":%t,"most_held":2000,"parallel_tries":%t,"probes":true,"retry_after":%t},
"replicas_of_me":%d,"report":{"fields":["recent_ms","outstanding"],"via":%q},
"rules":{"answer_slack":20000000,"ask_every":10000000000,"cold_from":0.35,"drain_grace":250000000,"fall":3000000000,"fall_multiple":2.5,
"warm_up":4600000000},"stage":0,"tenants":[%s],"tick":5000000,"weight_source":"nominal","worth_by":"work","a_key_not_known":[1]}`,
		number%2, s.discovery, s.countedBy, s.control, s.stickyKeys, s.replacement, s.classes(), number, s.cancelAttempts, s.peerMessages, s.hedgedRequests, s.retryAfter,
		s.relays, s.reports, tenants)
}

func (s scenario) classes() string {
	classFields := [classCount]string{
		classRetryable: `"repeat":"retryable","group":"all","streamed":false,"target":800000000,"worth":2.0`,
		classStreamed:  `"repeat":"retryable","group":"all","streamed":true,"target":1500000000,"worth":1.0`,
		classKeyedZone: `"repeat":"dedup","group":"zone","streamed":false,"target":1000000000,"worth":3.0`,
		classFragile:   `"repeat":"fragile","group":"all","streamed":false,"target":700000000,"worth":3.0`,
		classKeyedAll:  `"repeat":"dedup","group":"all","streamed":false,"target":900000000,"worth":0.5`,
		classKeyedCell: `"repeat":"dedup","group":"cell","streamed":false,"target":0,"worth":1.0`,
	}
	var all []string
	for class, fields := range classFields {
		all = append(all, fmt.Sprintf(`{"name":"class-%d",%s,"deadline":%d,"repeat_window":1500000000,"late_worth":0.2,"aim_stretch":%g}`,
			class, fields, deadlines[class], s.objectivePerWork))
	}
	return strings.Join(all, ",")
}
