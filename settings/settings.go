// Package settings parses the JSON object that describes a site to an instance: request classes, tenants, limits, rules and
// costs. The simulator's start message and a relay's configuration contain the same object, and both are parsed here.
//
// The package has no state; Parse may be called from any goroutine. It imports package relay.
package settings

import (
	"encoding/json"
	"fmt"
	"math"

	"lichenroad/relay"
)

// Site holds the settings of a site: those of the decision module, and those that only its host needs. A Site is not
// modified after Parse has returned it.
type Site struct {
	relay.Settings
	ClassByName         map[string]relay.RequestClass
	TenantByName        map[string]relay.Tenant
	Zones               []string      // names of the zones, indexed by relay.Zone
	MachineTypes        []string      // names of the machine types, indexed by relay.MachineType
	EndpointIdleTimeout relay.Seconds // time after which an idle connection to an endpoint is closed
	MaxInFlight         int           // maximum number of requests in flight
}

// MaxDeadline returns the longest deadline of all request classes.
func (s Site) MaxDeadline() relay.Seconds {
	var longest relay.Seconds
	for _, class := range s.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Parse parses the settings of an instance. Its error wraps the one of package encoding/json.
func Parse(raw []byte) (Site, error) {
	var w wireSettings
	if err := json.Unmarshal(raw, &w); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	site := Site{
		Settings:            w.settings(),
		ClassByName:         map[string]relay.RequestClass{},
		TenantByName:        map[string]relay.Tenant{},
		Zones:               w.Zones,
		MachineTypes:        w.MachineTypes,
		EndpointIdleTimeout: seconds(w.Limits.EndpointIdleTimeout),
		MaxInFlight:         w.Limits.MaxInFlight,
	}
	for i, class := range w.Classes {
		site.ClassByName[class.Name] = relay.RequestClass(i)
	}
	for i, tenant := range w.Tenants {
		site.TenantByName[tenant.Name] = relay.Tenant(i)
	}
	return site, nil
}

func (w *wireSettings) settings() relay.Settings {
	s := relay.Settings{
		Self:                    relay.ID(w.Self),
		Relays:                  w.Relays,
		Zone:                    relay.Zone(w.Zone),
		Classes:                 w.classes(),
		Tenants:                 w.tenants(),
		OverQuotaPriorityWeight: w.OverQuotaPriorityWeight,
		Limits:                  w.limits(),
		Rules:                   w.rules(),
		Rollout:                 w.rollout(),
		ListOnRequest:           w.Discovery == listOnRequest,
		LoadReportInAttempts:    w.LoadReport.Via == reportInAttempts,
		Costs:                   w.costs(),
	}
	if w.LoadReport.Via != noLoadReport {
		s.LoadReportFields = w.LoadReport.Fields
	}
	return s
}

func (w *wireSettings) classes() []relay.ClassSettings {
	var classes []relay.ClassSettings
	for i := range w.Classes {
		classes = append(classes, w.class(i))
	}
	return classes
}

func (w *wireSettings) class(i int) relay.ClassSettings {
	wire := &w.Classes[i]
	class := relay.ClassSettings{
		Idempotency:        relay.AtMostOnce,
		DedupScope:         relay.DedupFailureDomain,
		DedupWindow:        seconds(wire.DedupWindow),
		LatencyObjective:   seconds(wire.LatencyObjective),
		ObjectivePerWork:   wire.ObjectivePerWork,
		Deadline:           seconds(wire.Deadline),
		PriorityWeight:     wire.PriorityWeight,
		LatePriorityWeight: wire.LatePriorityWeight,
		Streamed:           wire.Streamed,
	}
	if class.LatencyObjective <= 0 {
		class.LatencyObjective = class.Deadline // with an objective of 0, every request would be rejected
	}
	switch wire.Idempotency {
	case idempotent:
		class.Idempotency = relay.Idempotent
	case idempotencyKeyed:
		class.Idempotency = relay.IdempotencyKeyed
	}
	switch wire.DedupScope {
	case dedupAll:
		class.DedupScope = relay.DedupAll
	case dedupZone:
		class.DedupScope = relay.DedupZone
	}
	return class
}

func (w *wireSettings) tenants() []relay.TenantSettings {
	var tenants []relay.TenantSettings
	for _, tenant := range w.Tenants {
		tenants = append(tenants, relay.TenantSettings{TrafficShare: tenant.TrafficShare, QuotaPerSec: tenant.QuotaPerSec})
	}
	return tenants
}

func (w *wireSettings) limits() relay.Limits {
	limits := relay.Limits{
		MaxAttempts:    w.Limits.MaxAttempts,
		CancelAttempts: w.Limits.CancelAttempts,
		HealthChecks:   w.Limits.HealthChecks,
		PeerMessages:   w.Limits.PeerMessages,
		HedgedRequests: w.Limits.HedgedRequests,
		RetryAfter:     w.Limits.RetryAfter,
		MaxRetryAfter:  seconds(w.Limits.MaxRetryAfter),
		ConnectTimeout: seconds(w.Limits.ConnectTimeout),
	}
	if limits.MaxAttempts <= 0 {
		limits.MaxAttempts = math.MaxInt32 // no limit set; with a limit of 0, every request would be rejected
	}
	return limits
}

func (w *wireSettings) rules() relay.Rules {
	return relay.Rules{
		AnswerSlack:      seconds(w.Rules.AnswerSlack),
		DrainGrace:       seconds(w.Rules.DrainGrace),
		PollInterval:     secondsOrNever(w.Rules.PollInterval),
		SlowStartFloor:   w.Rules.SlowStartFloor,
		SlowStartTime:    seconds(w.Rules.SlowStartTime),
		OverloadMultiple: w.Rules.OverloadMultiple,
		OverloadWindow:   seconds(w.Rules.OverloadWindow),
	}
}

func (w *wireSettings) rollout() relay.Rollout {
	rollout := relay.Rollout{
		InPlace:              w.Rollout.Replacement == replacedInPlace,
		ExposureLimits:       w.Rollout.ExposureLimits,
		StageShares:          w.Rollout.StageShares,
		ExposureAllowance:    w.Rollout.ExposureAllowance,
		ExposureWindow:       seconds(w.Rollout.ExposureWindow),
		PerClass:             w.Rollout.CountedBy == countedByClass,
		IdempotentOnlyStages: w.Rollout.IdempotentOnlyStages,
		StickyKeys:           w.Rollout.StickyKeys,
		KeyLocality:          w.Rollout.KeyLocality,
		PromoteQuorum:        w.Rollout.PromoteQuorum,
		RollBackQuorum:       w.Rollout.RollBackQuorum,
		HoldQuorum:           w.Rollout.HoldQuorum,
		VoteTTL:              secondsOrNever(w.Rollout.VoteTTL),
		CallTimeout:          seconds(w.Rollout.CallTimeout),
		StatusInterval:       seconds(w.Rollout.StatusInterval),
		VotesPerSec:          w.Rollout.VotesPerSec,
		MinStageTime:         seconds(w.Rollout.MinStageTime),
		MaxStageTime:         seconds(w.Rollout.MaxStageTime),
		ReportedShare:        w.Rollout.ReportedShare,
		DelayCost:            w.Rollout.DelayCost,
		HarmCost:             w.Rollout.HarmCost,
	}
	switch w.Rollout.Control {
	case controlledByQuorum:
		rollout.Control = relay.ControlQuorum
	case controlledByTime:
		rollout.Control = relay.ControlTimed
	}
	return rollout
}

func (w *wireSettings) costs() relay.Costs {
	return relay.Costs{
		CrossZone:   w.Costs.CrossZone,
		Waste:       w.Costs.Waste,
		HealthCheck: w.Costs.HealthCheck,
		Message:     w.Costs.Message,
		LateFailure: w.Costs.LateFailure,
	}
}

const nanosecondsPerSecond = 1e9

func seconds(nanoseconds float64) relay.Seconds { return nanoseconds / nanosecondsPerSecond }

// secondsOrNever converts a duration that is unlimited if the settings don't specify it.
func secondsOrNever(nanoseconds float64) relay.Seconds {
	if nanoseconds <= 0 {
		return math.Inf(1)
	}
	return seconds(nanoseconds)
}
