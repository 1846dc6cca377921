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
		t.Errorf("settings %+v, error %v", s, err)
	}
	_, err = Parse([]byte(`{`))
	var syntaxError *json.SyntaxError
	if !errors.As(err, &syntaxError) {
		t.Errorf("malformed settings: error %v, want a *json.SyntaxError", err)
	}
}

// TestAbsentSettingsRejectNothing parses settings without limits. A missing limit must mean that there is none; read as 0 it
// would make the relay reject every request.
func TestAbsentSettingsRejectNothing(t *testing.T) {
	site, err := Parse([]byte(`{"grades":[{"name":"a","repeat":"retryable","deadline":2e9}]}`))
	if err != nil {
		t.Fatal(err)
	}
	s := site.Settings
	if s.Limits.MaxAttempts < 1 || s.Classes[0].LatencyObjective != 2 || s.Rollout.VoteTTL < 60 || s.Rules.PollInterval < 60 {
		t.Errorf("defaults of absent settings: %+v", s)
	}
	if !math.IsInf(s.Rules.PollInterval, 1) || !math.IsInf(s.Rollout.VoteTTL, 1) {
		t.Errorf("poll interval %v and vote TTL %v, want +Inf", s.Rules.PollInterval, s.Rollout.VoteTTL)
	}
}

// TestOptionValues checks which setting each option value in the JSON object selects.
func TestOptionValues(t *testing.T) {
	for _, test := range []struct {
		name string
		raw  string
		ok   func(Site) bool
	}{
		{"idempotent", `{"grades":[{"repeat":"retryable"}]}`, func(s Site) bool { return s.Classes[0].Idempotency == relay.Idempotent }},
		{"idempotency key", `{"grades":[{"repeat":"dedup"}]}`, func(s Site) bool { return s.Classes[0].Idempotency == relay.IdempotencyKeyed }},
		{"at most once", `{"grades":[{"repeat":"fragile"}]}`, func(s Site) bool { return s.Classes[0].Idempotency == relay.AtMostOnce }},
		{"dedup in all endpoints", `{"grades":[{"group":"all"}]}`, func(s Site) bool { return s.Classes[0].DedupScope == relay.DedupAll }},
		{"dedup in a zone", `{"grades":[{"group":"zone"}]}`, func(s Site) bool { return s.Classes[0].DedupScope == relay.DedupZone }},
		{"dedup in a failure domain", `{"grades":[{"group":"cell"}]}`, func(s Site) bool { return s.Classes[0].DedupScope == relay.DedupFailureDomain }},
		{"list on request", `{"discovery":"subscribe"}`, func(s Site) bool { return s.ListOnRequest }},
		{"list without request", `{"discovery":"automatic"}`, func(s Site) bool { return !s.ListOnRequest }},
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
		{"longest deadline", `{"grades":[{"deadline":3e9},{"deadline":2e9}]}`, func(s Site) bool { return s.MaxDeadline() == 3 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			site, err := Parse([]byte(test.raw))
			if err != nil || !test.ok(site) {
				t.Errorf("settings %+v, error %v", site, err)
			}
		})
	}
}
