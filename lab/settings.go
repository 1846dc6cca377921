package lab

import (
	"math"

	"lichenroad/plan"
	"lichenroad/policy"
	"lichenroad/relay"
)

// tenantWithoutGroup is a tenant that no group of the plan names.
const tenantWithoutGroup = "nobody-in-a-group"

// relaySettings are the settings of a service's relays.
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
			ExposureAllowance:    freeAttempts,
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

// quorum is how many of the relays a share of them is, at least one.
func quorum(share float64, relays int) int {
	return max(1, int(math.Ceil(share*float64(relays)-1e-9)))
}

// tenants are all of the plan's, and one without a group.
func (s *simulation) tenants() (names []string) {
	for _, group := range s.plan.Groups {
		names = append(names, group.Tenants...)
	}
	return append(names, tenantWithoutGroup)
}

// newModule makes a relay's decision module, the real one where the options name no other.
func (o *Options) newModule(settings relay.Settings, seed int64) module {
	if o.NewModule != nil {
		return o.NewModule(settings, seed)
	}
	return policy.New(settings, seed)
}
