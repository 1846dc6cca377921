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
	Categories map[string]relay.Category // by name
	Customers  map[string]relay.Customer
	Zones      []string
	Kinds      []string
	ConnIdle   relay.Seconds // after which an idle connection to a unit is closed
	MostHeld   int           // queries held at a time
}

// Longest is the longest patience of any category.
func (s Site) Longest() (longest relay.Seconds) {
	for _, t := range s.Settings.Categories {
		longest = max(longest, t.Patience)
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
		Self: relay.RelayNo(w.Self), Relays: w.Relays, Zone: relay.Zone(w.Zone), OverShareValue: w.OverWort,
		RosterOnAsk: w.Roster == "subscribe", ReportInLegs: w.Report.Via == "inline",
		Limits: relay.Limits{MaxLegs: w.Limits.Legs, Cancel: w.Limits.Cancel, Probes: w.Limits.Probes,
			Messages: w.Limits.Messages, SecondCopies: w.Limits.Copies, RetryAfter: w.Limits.RetryAfter,
			MaxRetryAfter: w.Limits.MaxRetry / perSecond, ConnectTimeout: w.Limits.Connect / perSecond},
		Rules: relay.Rules{AnswerSlack: w.Rules.Slack / perSecond, DrainGrace: w.Rules.Drain / perSecond,
			AskEvery: unless(w.Rules.Ask) / perSecond, ColdFrom: w.Rules.ColdFrom, WarmUp: w.Rules.WarmUp / perSecond,
			FallMultiple: w.Rules.Multiple, FallTime: w.Rules.Fall / perSecond},
		Rollout: relay.Rollout{InPlace: w.Family.Swap == "replace", Caps: w.Family.Caps,
			StageShares: w.Family.Waves, Uncounted: w.Family.Free, Window: w.Family.Span / perSecond,
			PerCategory: w.Family.Counted == "each_class", GuardedStages: w.Family.Guarded,
			KeysForward: w.Family.Forward, KeysWarm: w.Family.Warm, VotesOn: w.Family.On,
			VotesBack: w.Family.Back, VotesHold: w.Family.Hold, VoteLife: unless(w.Family.Life) / perSecond,
			CallTimeout: w.Family.Call / perSecond, VotesPerSec: w.Family.PerSec,
			LeastTime: w.Family.Dwell / perSecond, StepTime: w.Family.Step / perSecond,
			ReportedShare: w.Family.Reported, DelayPrice: w.Family.Lag, HarmPrice: w.Family.Harm},
		Prices: relay.Prices{CrossZone: w.Prices.Cross, Waste: w.Prices.Waste, Probe: w.Prices.Probe,
			Message: w.Prices.Peer, LateFail: w.Prices.LateFail},
	}
	if s.Limits.MaxLegs <= 0 {
		s.Limits.MaxLegs = math.MaxInt32 // not limited; none at all would deny everything
	}
	if w.Report.Via != "off" {
		s.Reports = w.Report.Fields
	}
	switch w.Family.Control {
	case "by_count":
		s.Rollout.Control = relay.ShareVotes
	case "automatic":
		s.Rollout.Control = relay.Clock
	}
	site := Site{Zones: w.Areas, Kinds: w.Kinds, ConnIdle: w.Limits.Idle / perSecond, MostHeld: w.Limits.MostHeld,
		Categories: map[string]relay.Category{}, Customers: map[string]relay.Customer{}}
	for i, g := range w.Grades {
		site.Categories[g.Name] = relay.Category(i)
		t := relay.CategoryTerms{RepeatWindow: g.Window / perSecond, DueTime: g.Due / perSecond,
			DueStretch: g.Stretch, Patience: g.Until / perSecond, Value: g.Value, LateValue: g.Late,
			Streamed: g.Stream, Repeat: relay.AtMostOnce, Group: relay.GroupCell}
		if t.DueTime <= 0 {
			t.DueTime = t.Patience // in time as long as the client waits; at once would deny everything
		}
		switch g.Repeat {
		case "retryable":
			t.Repeat = relay.Reissuable
		case "dedup":
			t.Repeat = relay.Numbered
		}
		switch g.Group {
		case "all":
			t.Group = relay.GroupAll
		case "zone":
			t.Group = relay.GroupZone
		}
		s.Categories = append(s.Categories, t)
	}
	for i, c := range w.Tenants {
		site.Customers[c.Name] = relay.Customer(i)
		s.Customers = append(s.Customers, relay.CustomerTerms{Share: c.Share, QuotaPerSec: c.Quota})
	}
	site.Settings = s
	return site, nil
}
