package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/policy"
	"lichenroad/relay"
)

// tenantWithoutGroup is a tenant that belongs to no group of the plan.
const tenantWithoutGroup = "nobody-in-a-group"

// relaySettings returns the settings of the relays of a service.
func (s *simulation) relaySettings(index plan.ServiceIndex, relays int) relay.Settings {
	service := &s.plan.Services[index]
	settings := relay.Settings{
		Relays: relays,
		Limits: relay.Limits{
			MaxAttempts:    3,
			CancelAttempts: true,
			PeerMessages:   true,
			RetryAfter:     true,
			MaxRetryAfter:  1,
			ConnectTimeout: 0.5,
		},
		Rules: relay.Rules{
			DrainGrace:       drainGrace,
			SlowStartFloor:   slowStartFloor,
			SlowStartTime:    slowStartTime,
			OverloadMultiple: overloadMultiple,
			OverloadWindow:   overloadWindow,
			AnswerSlack:      0.01,
			PollInterval:     30,
		},
		Rollout: relay.Rollout{
			Control:              relay.ControlQuorum,
			ExposureAllowance:    baseAllowance,
			ExposureWindow:       exposureWindow,
			IdempotentOnlyStages: 1,
			PromoteQuorum:        quorum(service.Votes.PromoteShare, relays),
			RollBackQuorum:       quorum(service.Votes.RollBackShare, relays),
			HoldQuorum:           1,
			VoteTTL:              service.Votes.TTL,
			CallTimeout:          1,
			VotesPerSec:          service.Votes.PerSecond,
			MinStageTime:         4,
		},
	}
	for _, class := range requestClasses {
		settings.Classes = append(settings.Classes, relay.ClassSettings{
			Idempotency:      class.idempotency,
			DedupScope:       relay.DedupZone,
			DedupWindow:      class.dedupWindow,
			LatencyObjective: class.objective,
			Deadline:         class.deadline,
			PriorityWeight:   class.priorityWeight,
		})
	}
	tenants := s.tenants()
	for range tenants {
		settings.Tenants = append(settings.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(len(tenants))})
	}
	for _, step := range service.Steps {
		settings.Rollout.ExposureLimits = append(settings.Rollout.ExposureLimits, step.ExposureLimit)
		settings.Rollout.StageShares = append(settings.Rollout.StageShares, step.Share)
	}
	return settings
}

// quorum returns the number of relays that a share of them amounts to, rounded up; at least one.
func quorum(share float64, relays int) int {
	return max(1, int(math.Ceil(share*float64(relays)-roundingMargin)))
}

// tenants returns the names of all tenants of the plan, and of one without a group.
func (s *simulation) tenants() (names []string) {
	for _, group := range s.plan.Groups {
		names = append(names, group.Tenants...)
	}
	return append(names, tenantWithoutGroup)
}

// newModule returns a new decision module for a relay: the real one, unless the options set another.
func (o *Options) newModule(settings relay.Settings, seed int64) module {
	if o.NewModule != nil {
		return o.NewModule(settings, seed)
	}
	return policy.New(settings, seed)
}
