package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

const (
	aggregatorCount   = 4      // the running relays with the lowest numbers aggregate
	aggregatorTimeout = 3.0    // seconds after which a stopped aggregator counts as lost
	initialUptime     = 3600.0 // seconds that the endpoints of the first build have already run when a run starts
)

// service is one service with its relays and endpoints.
type service struct {
	index                    int
	size                     serviceSize
	endpointsBetweenReleases int     // number of endpoints while no canary runs
	weight                   float64 // number of services that it represents in the figures
	settings                 relay.Settings
	relays                   []*fleetRelay
	hollowRelays             []*hollowRelay // the hosted relays, sorted by number
	endpoints                []*endpoint
	byID                     map[relay.EndpointID]*endpoint
	registry                 *registry
	platform                 *platform
}

func newService(index int, size serviceSize, p *placer) *service {
	s := &service{index: index, size: size, byID: map[relay.EndpointID]*endpoint{}, weight: 1}
	canaryShare := stages[len(stages)-1].share
	s.endpointsBetweenReleases = max(1, int(float64(size.endpoints)/(1+canaryShare))) // leaves room for the canary's endpoints
	for i := range s.endpointsBetweenReleases {
		name := fmt.Sprintf("s%d-u%d", index, i)
		e := newEndpoint(name, p.nextPlace(), i%len(machineKinds), 1, -initialUptime)
		s.endpoints = append(s.endpoints, e)
		s.byID[e.id] = e
	}
	s.registry = newRegistry(size.relays, append([]*endpoint(nil), s.endpoints...))
	s.settings = serviceSettings(size)
	return s
}

// serviceSettings returns the settings of the relays of a service of this size.
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
			PollInterval:     maxNotifyDelay,
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

// add adds a started endpoint to the service and to discovery's list.
func (s *service) add(now float64, e *endpoint) {
	s.endpoints = append(s.endpoints, e)
	s.byID[e.id] = e
	s.registry.add(now, e)
}

// drain starts draining an endpoint. Its process ends after drainTime.
func (s *service) drain(now float64, e *endpoint) {
	e.state = relay.Draining
	e.endedAt = math.Min(e.endedAt, now+drainTime)
	s.registry.scheduleChange(now, e)
}

// removeEnded marks draining endpoints whose process has ended as removed, and deletes removed endpoints from s.endpoints.
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

// crash ends an endpoint's process. Discovery detects that after crashDetectionTime.
func (s *service) crash(now float64, e *endpoint) {
	e.endedAt = now
	e.state = relay.Removed
	s.registry.scheduleChange(now+crashDetectionTime, e)
}

// aggregatorsSeenFrom returns the relays that relays of the region treat as aggregators: those with the lowest numbers whose
// messages reach the region and that have not been down for longer than aggregatorTimeout.
func (s *service) aggregatorsSeenFrom(region int, now float64, n *network) []*fleetRelay {
	var aggregators []*fleetRelay
	for _, r := range s.relays {
		lost := !r.alive && now-r.downSince > aggregatorTimeout
		if lost || !n.deliversDatagrams(r.region, region) {
			continue
		}
		aggregators = append(aggregators, r)
		if len(aggregators) == aggregatorCount {
			break
		}
	}
	return aggregators
}
