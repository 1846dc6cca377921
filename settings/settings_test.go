package settings

import (
	"encoding/json"
	"errors"
	"math"
	"testing"

	"lichenroad/relay"
)

func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"news":1,"az":1,"grades":[{"repeat":"dedup","group":"zone","target":5e8}]}`))
	if err != nil || s.Zone != 1 || s.Settings.Classes[0].LatencyObjective != 0.5 || s.Settings.Classes[0].Idempotency != 1 {
		t.Errorf("%+v %v", s, err)
	}
	_, err = Parse([]byte(`{`))
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		t.Errorf("bad settings: %v", err)
	}
}

// TestAbsentSettingsRejectNothing reads the settings of a site that leaves out what it does not limit.
func TestAbsentSettingsRejectNothing(t *testing.T) {
	site, err := Parse([]byte(`{"grades":[{"name":"a","repeat":"retryable","deadline":2e9}]}`))
	if err != nil {
		t.Fatal(err)
	}
	s := site.Settings
	if s.Limits.MaxAttempts < 1 || s.Classes[0].LatencyObjective != 2 || s.Rollout.VoteTTL < 60 || s.Rules.PollInterval < 60 {
		t.Errorf("%+v", s)
	}
	if !math.IsInf(s.Rules.PollInterval, 1) || !math.IsInf(s.Rollout.VoteTTL, 1) {
		t.Error("times that never come:", s.Rules.PollInterval, s.Rollout.VoteTTL)
	}
}

// TestWords holds the words of the wire to the settings that they stand for.
func TestWords(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  string
		is   func(Site) bool
	}{
		{"idempotent", `{"grades":[{"repeat":"retryable"}]}`, func(s Site) bool { return s.Classes[0].Idempotency == relay.Idempotent }},
		{"keyed", `{"grades":[{"repeat":"dedup"}]}`, func(s Site) bool { return s.Classes[0].Idempotency == relay.IdempotencyKeyed }},
		{"at most once", `{"grades":[{"repeat":"fragile"}]}`, func(s Site) bool { return s.Classes[0].Idempotency == relay.AtMostOnce }},
		{"dedup everywhere", `{"grades":[{"group":"all"}]}`, func(s Site) bool { return s.Classes[0].DedupScope == relay.DedupAll }},
		{"dedup in a zone", `{"grades":[{"group":"zone"}]}`, func(s Site) bool { return s.Classes[0].DedupScope == relay.DedupZone }},
		{"dedup in a cell", `{"grades":[{"group":"cell"}]}`, func(s Site) bool { return s.Classes[0].DedupScope == relay.DedupFailureDomain }},
		{"list on request", `{"discovery":"subscribe"}`, func(s Site) bool { return s.ListOnRequest }},
		{"list by itself", `{"discovery":"automatic"}`, func(s Site) bool { return !s.ListOnRequest }},
		{"load reports in attempts", `{"report":{"via":"inline","fields":["x"]}}`, func(s Site) bool { return s.LoadReportInAttempts && len(s.LoadReportFields) == 1 }},
		{"no load reports", `{"report":{"via":"off","fields":["x"]}}`, func(s Site) bool { return !s.LoadReportInAttempts && s.LoadReportFields == nil }},
		{"single vote", `{"family_info":{"decided_by":"first_voice"}}`, func(s Site) bool { return s.Rollout.Control == relay.ControlSingleVote }},
		{"quorum", `{"family_info":{"decided_by":"by_count"}}`, func(s Site) bool { return s.Rollout.Control == relay.ControlQuorum }},
		{"timed", `{"family_info":{"decided_by":"automatic"}}`, func(s Site) bool { return s.Rollout.Control == relay.ControlTimed }},
		{"in place", `{"family_info":{"swap":"replace"}}`, func(s Site) bool { return s.Rollout.InPlace }},
		{"per class", `{"family_info":{"counted_by":"each_class"}}`, func(s Site) bool { return s.Rollout.PerClass }},
		{"names", `{"grades":[{"name":"a"},{"name":"b"}],"tenants":[{"name":"t"},{"name":"u"}]}`, func(s Site) bool {
			return s.ClassByName["b"] == 1 && s.TenantByName["u"] == 1
		}},
		{"the longest deadline", `{"grades":[{"deadline":3e9},{"deadline":2e9}]}`, func(s Site) bool { return s.MaxDeadline() == 3 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			site, err := Parse([]byte(c.raw))
			if err != nil || !c.is(site) {
				t.Errorf("%+v %v", site, err)
			}
		})
	}
}
