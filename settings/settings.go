// Package settings reads the object that tells an instance its site, in the simulator's first message as in
// a relay's configuration. It is the one parser for both hosts.
package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"lichenroad/relay"
)

// wireSettings is the part of the start-up object that the decisions can use; other keys are skipped.
type wireSettings struct {
	Zone     int      `json:"az"`
	Areas    []string `json:"areas"`
	Kinds    []string `json:"kinds"`
	Self     uint32   `json:"my_number"`
	Relays   int      `json:"replicas_of_me"`
	OverWort float64  `json:"over_share_worth"`
	Roster   string   `json:"discovery"`
	Grades   []struct {
		Name    string  `json:"name"`
		Repeat  string  `json:"repeat"`
		Group   string  `json:"group"`
		Window  float64 `json:"repeat_window"`
		Due     float64 `json:"target"`
		Stretch float64 `json:"aim_stretch"`
		Until   float64 `json:"deadline"`
		Value   float64 `json:"worth"`
		Late    float64 `json:"late_worth"`
		Stream  bool    `json:"streamed"`
	} `json:"grades"`
	Tenants []struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants"`
	Limits struct {
		Legs       int     `json:"max_attempts"`
		Cancel     bool    `json:"cancel"`
		Probes     bool    `json:"probes"`
		Messages   bool    `json:"may_tell"`
		Copies     bool    `json:"parallel_tries"`
		RetryAfter bool    `json:"retry_after"`
		MaxRetry   float64 `json:"max_retry_after"`
		Connect    float64 `json:"dial_timeout"`
		Idle       float64 `json:"conn_idle"`
		MostHeld   int     `json:"most_held"`
	} `json:"policy_limits"`
	Rules struct {
		Slack    float64 `json:"answer_slack"`
		Drain    float64 `json:"drain_grace"`
		Ask      float64 `json:"ask_every"`
		ColdFrom float64 `json:"cold_from"`
		WarmUp   float64 `json:"warm_up"`
		Multiple float64 `json:"fall_multiple"`
		Fall     float64 `json:"fall"`
	} `json:"rules"`
	Family struct {
		Control  string    `json:"decided_by"`
		Swap     string    `json:"swap"`
		Caps     []float64 `json:"exposure_caps"`
		Waves    []float64 `json:"waves"`
		Free     float64   `json:"uncounted"`
		Span     float64   `json:"span"`
		Counted  string    `json:"counted_by"`
		Guarded  int       `json:"guarded_stages"`
		Forward  bool      `json:"no_return"`
		Warm     bool      `json:"warm_keys"`
		On       int       `json:"to_advance"`
		Back     int       `json:"to_abort"`
		Hold     int       `json:"votes_to_hold"`
		Life     float64   `json:"ballot_ttl"`
		Call     float64   `json:"call_timeout"`
		PerSec   float64   `json:"votes_per_s"`
		Dwell    float64   `json:"min_dwell"`
		Step     float64   `json:"moves_after"`
		Reported float64   `json:"reported_share"`
		Lag      float64   `json:"lag_fee"`
		Harm     float64   `json:"harm_price"`
	} `json:"family_info"`
	Report struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Prices struct {
		Cross    float64 `json:"cross_zone"`
		Waste    float64 `json:"waste"`
		Probe    float64 `json:"probe"`
		Peer     float64 `json:"peer"`
		LateFail float64 `json:"late_fail"`
	} `json:"penalties"`
}

const perSecond = 1e9 // the wire counts nanoseconds

// Site is what the settings tell: the module's part, and what a host on sockets needs beside it.
type Site struct {
	relay.Settings
	ClassByName         map[string]relay.RequestClass // by name
	TenantByName        map[string]relay.Tenant
	Zones               []string
	MachineTypes        []string
	EndpointIdleTimeout relay.Seconds // after which an idle connection to a unit is closed
	MaxInFlight         int           // queries held at a time
}

// Longest is the longest patience of any category.
func (s Site) MaxDeadline() (longest relay.Seconds) {
	for _, t := range s.Settings.Classes {
		longest = max(longest, t.Deadline)
	}
	return longest
}

// unless is a time that the settings may leave out, and then never comes.
func unless(ns float64) float64 {
	if ns <= 0 {
		return math.Inf(1)
	}
	return ns
}

// Parse reads the start-up settings of one instance.
func Parse(raw []byte) (Site, error) {
	var w wireSettings
	if err := json.Unmarshal(raw, &w); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	s := relay.Settings{
		Self: relay.RelayID(w.Self), Relays: w.Relays, Zone: relay.Zone(w.Zone), OverQuotaPriorityWeight: w.OverWort,
		ListOnRequest: w.Roster == "subscribe", LoadReportInAttempts: w.Report.Via == "inline",
		Limits: relay.Limits{MaxAttempts: w.Limits.Legs, CancelAttempts: w.Limits.Cancel, HealthChecks: w.Limits.Probes,
			PeerMessages: w.Limits.Messages, HedgedRequests: w.Limits.Copies, RetryAfter: w.Limits.RetryAfter,
			MaxRetryAfter: w.Limits.MaxRetry / perSecond, ConnectTimeout: w.Limits.Connect / perSecond},
		Rules: relay.Rules{AnswerSlack: w.Rules.Slack / perSecond, DrainGrace: w.Rules.Drain / perSecond,
			PollInterval: unless(w.Rules.Ask) / perSecond, SlowStartFloor: w.Rules.ColdFrom, SlowStartTime: w.Rules.WarmUp / perSecond,
			OverloadMultiple: w.Rules.Multiple, OverloadWindow: w.Rules.Fall / perSecond},
		Rollout: relay.Rollout{InPlace: w.Family.Swap == "replace", ExposureLimits: w.Family.Caps,
			StageShares: w.Family.Waves, ExposureAllowance: w.Family.Free, ExposureWindow: w.Family.Span / perSecond,
			PerClass: w.Family.Counted == "each_class", IdempotentOnlyStages: w.Family.Guarded,
			StickyKeys: w.Family.Forward, KeyLocality: w.Family.Warm, PromoteQuorum: w.Family.On,
			RollBackQuorum: w.Family.Back, HoldQuorum: w.Family.Hold, VoteTTL: unless(w.Family.Life) / perSecond,
			CallTimeout: w.Family.Call / perSecond, VotesPerSec: w.Family.PerSec,
			MinStageTime: w.Family.Dwell / perSecond, MaxStageTime: w.Family.Step / perSecond,
			ReportedShare: w.Family.Reported, DelayCost: w.Family.Lag, HarmCost: w.Family.Harm},
		Costs: relay.Costs{CrossZone: w.Prices.Cross, Waste: w.Prices.Waste, HealthCheck: w.Prices.Probe,
			Message: w.Prices.Peer, LateFailure: w.Prices.LateFail},
	}
	if s.Limits.MaxAttempts <= 0 {
		s.Limits.MaxAttempts = math.MaxInt32 // not limited; none at all would deny everything
	}
	if w.Report.Via != "off" {
		s.LoadReportFields = w.Report.Fields
	}
	switch w.Family.Control {
	case "by_count":
		s.Rollout.Control = relay.ControlQuorum
	case "automatic":
		s.Rollout.Control = relay.ControlTimed
	}
	site := Site{Zones: w.Areas, MachineTypes: w.Kinds, EndpointIdleTimeout: w.Limits.Idle / perSecond, MaxInFlight: w.Limits.MostHeld,
		ClassByName: map[string]relay.RequestClass{}, TenantByName: map[string]relay.Tenant{}}
	for i, g := range w.Grades {
		site.ClassByName[g.Name] = relay.RequestClass(i)
		t := relay.ClassSettings{DedupWindow: g.Window / perSecond, LatencyObjective: g.Due / perSecond,
			ObjectivePerWork: g.Stretch, Deadline: g.Until / perSecond, PriorityWeight: g.Value, LatePriorityWeight: g.Late,
			Streamed: g.Stream, Idempotency: relay.AtMostOnce, DedupScope: relay.DedupFailureDomain}
		if t.LatencyObjective <= 0 {
			t.LatencyObjective = t.Deadline // in time as long as the client waits; at once would deny everything
		}
		switch g.Repeat {
		case "retryable":
			t.Idempotency = relay.Idempotent
		case "dedup":
			t.Idempotency = relay.IdempotencyKeyed
		}
		switch g.Group {
		case "all":
			t.DedupScope = relay.DedupAll
		case "zone":
			t.DedupScope = relay.DedupZone
		}
		s.Classes = append(s.Classes, t)
	}
	for i, c := range w.Tenants {
		site.TenantByName[c.Name] = relay.Tenant(i)
		s.Tenants = append(s.Tenants, relay.TenantSettings{TrafficShare: c.Share, QuotaPerSec: c.Quota})
	}
	site.Settings = s
	return site, nil
}
