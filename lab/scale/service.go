package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	aggregatorCount   = 4      // lowest-numbered running relays that aggregate
	aggregatorTimeout = 3.0    // seconds without a message after which an aggregator counts as lost
	initialUptime     = 3600.0 // seconds for which the endpoints of the first build have run at the start
)

// service is one service's part of the fleet.
type service struct {
	index        int
	size         serviceSize
	established  int     // endpoints between releases
	weight       float64 // services that it stands for in the figures
	settings     relay.Settings
	relays       []*identity
	hollowRelays []*hollowRelay // the hosted ones of relays, by number
	endpoints    []*endpoint
	byID         map[relay.EndpointID]*endpoint
	registry     *registry
	platform     *platform
}

func newService(index int, size serviceSize, p *placer) *service {
	s := &service{index: index, size: size, byID: map[relay.EndpointID]*endpoint{}, weight: 1}
	canaryShare := stages[len(stages)-1].share
	s.established = max(1, int(float64(size.endpoints)/(1+canaryShare))) // so that a canary fits beside them
	for i := range s.established {
		name := fmt.Sprintf("s%d-u%d", index, i)
		e := newEndpoint(name, p.place(), i%len(machineKinds), 1, -initialUptime)
		s.endpoints = append(s.endpoints, e)
		s.byID[e.id] = e
	}
	s.registry = newRegistry(size.relays, append([]*endpoint(nil), s.endpoints...))
	s.settings = serviceSettings(size)
	return s
}

// serviceSettings returns the settings of a service's relays.
func serviceSettings(size serviceSize) relay.Settings {
	settings := relay.Settings{
		Relays:        size.relays,
		ListOnRequest: true,
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
			PollInterval:     changeBindsAfter,
		},
		Rollout: relay.Rollout{
			Control:              relay.ControlQuorum,
			ExposureAllowance:    exposureAllowance,
			ExposureWindow:       exposureWindow,
			IdempotentOnlyStages: 1,
			PromoteQuorum:        quorum(promoteShare, size.relays),
			RollBackQuorum:       quorum(rollBackShare, size.relays),
			HoldQuorum:           quorum(holdShare, size.relays),
			VoteTTL:              voteTTL,
			CallTimeout:          1,
			VotesPerSec:          math.Max(10, float64(size.relays)/2),
			MinStageTime:         4,
		},
	}
	for _, kind := range requestKinds {
		settings.Classes = append(settings.Classes, relay.ClassSettings{
			Idempotency:      kind.idempotency,
			LatencyObjective: kind.latencyObjective,
			Deadline:         kind.deadline,
			PriorityWeight:   kind.priorityWeight,
		})
	}
	for range size.tenants {
		settings.Tenants = append(settings.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(size.tenants)})
	}
	for _, stage := range stages {
		settings.Rollout.ExposureLimits = append(settings.Rollout.ExposureLimits, stage.exposureLimit)
		settings.Rollout.StageShares = append(settings.Rollout.StageShares, stage.share)
	}
	return settings
}

// add starts an endpoint.
func (s *service) add(now float64, e *endpoint) {
	s.endpoints = append(s.endpoints, e)
	s.byID[e.id] = e
	s.registry.add(now, e)
}

// drain starts the drain of an endpoint, whose process ends a little later.
func (s *service) drain(now float64, e *endpoint) {
	e.state = relay.Draining
	e.endedAt = math.Min(e.endedAt, now+drainTime)
	s.registry.scheduleChange(now, e)
}

// removeEnded lists endpoints whose process has ended after a drain as removed, and drops all that are removed.
func (s *service) removeEnded(now float64) {
	kept := s.endpoints[:0]
	for _, e := range s.endpoints {
		if e.state == relay.Draining && !e.isRunning(now) {
			e.state = relay.Removed
			s.registry.scheduleChange(now, e)
		}
		if e.state != relay.Removed {
			kept = append(kept, e)
		}
	}
	clear(s.endpoints[len(kept):])
	s.endpoints = kept
}

// crash ends an endpoint's process, which discovery notices later.
func (s *service) crash(now float64, e *endpoint) {
	e.endedAt = now
	e.state = relay.Removed
	s.registry.scheduleChange(now+crashDetectionTime, e)
}

// aggregatorsSeenFrom returns the relays that those of a region take for the aggregators: the lowest-numbered ones whose
// messages arrived lately.
func (s *service) aggregatorsSeenFrom(region int, now float64, n *network) []*identity {
	var aggregators []*identity
	for _, r := range s.relays {
		lost := !r.alive && now-r.downSince > aggregatorTimeout
		if lost || !n.carries(r.region, region) {
			continue
		}
		aggregators = append(aggregators, r)
		if len(aggregators) == aggregatorCount {
			break
		}
	}
	return aggregators
}
