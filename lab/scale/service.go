package scale

import (
	"fmt"
	"math"

	"lichenroad/relay"
)

// aggregatorCount are how many of the lowest-numbered relays fuse while all are alive.
const aggregatorCount = 4

const initialUptime = 3600.0 // s for which the units of the first build have run at the start

// service is one service's part of the fleet.
type service struct {
	index        int
	size         serviceSize
	established  int // units of the build in service, between releases
	weight       float64
	settings     relay.Settings
	relays       []*identity
	hollowRelays []*hollowRelay // those of the relays that are hosted, by number
	endpoints    []*endpoint
	byID         map[relay.EndpointID]*endpoint
	registry     *registry
	platform     *platform
}

func newService(o *Options, index int, size serviceSize, p *placer) *service {
	s := &service{index: index, size: size, byID: map[relay.EndpointID]*endpoint{}, weight: 1}
	last := stages[len(stages)-1].units
	s.established = max(1, int(float64(size.endpoints)/(1+last))) // so that a release fits beside them
	for i := range s.established {
		e := newEndpoint(fmt.Sprintf("s%d-u%d", index, i), p.place(), i%len(machineKinds), 1, -initialUptime)
		s.endpoints, s.byID[e.id] = append(s.endpoints, e), e
	}
	s.registry = newRegistry(size.relays, append([]*endpoint(nil), s.endpoints...))
	s.settings = serviceSettings(o, size)
	return s
}

// serviceSettings are what relays are told at their start.
func serviceSettings(o *Options, size serviceSize) relay.Settings {
	s := relay.Settings{Relays: size.relays, ListOnRequest: true,
		Limits: relay.Limits{MaxAttempts: 3, CancelAttempts: true, PeerMessages: true, RetryAfter: true, MaxRetryAfter: 1, ConnectTimeout: 0.5},
		Rules: relay.Rules{DrainGrace: drainGrace, SlowStartFloor: slowStartFloor, SlowStartTime: slowStartTime, OverloadMultiple: overloadMultiple,
			OverloadWindow: overloadWindow, AnswerSlack: 0.01, PollInterval: changeBindsAfter},
		Rollout: relay.Rollout{Control: relay.ControlQuorum, ExposureAllowance: exposureAllowance, ExposureWindow: exposureWindow, IdempotentOnlyStages: 1,
			PromoteQuorum: quorum(promoteShare, size.relays), RollBackQuorum: quorum(rollBackShare, size.relays),
			HoldQuorum: quorum(holdShare, size.relays), VoteTTL: voteTTL, CallTimeout: 1,
			VotesPerSec: math.Max(10, float64(size.relays)/2), MinStageTime: 4}}
	for i := range requestKinds {
		k := &requestKinds[i]
		s.Classes = append(s.Classes, relay.ClassSettings{Idempotency: k.idempotency, LatencyObjective: k.latencyObjective, Deadline: k.deadline,
			PriorityWeight: k.priorityWeight})
	}
	for range size.tenants {
		s.Tenants = append(s.Tenants, relay.TenantSettings{TrafficShare: 1 / float64(size.tenants)})
	}
	for _, stage := range stages {
		s.Rollout.ExposureLimits = append(s.Rollout.ExposureLimits, stage.cap)
		s.Rollout.StageShares = append(s.Rollout.StageShares, stage.units)
	}
	return s
}

func quorum(part float64, relays int) int {
	return max(1, int(math.Ceil(part*float64(relays)-1e-9)))
}

// add starts a unit.
func (s *service) add(now float64, e *endpoint) {
	s.endpoints, s.byID[e.id] = append(s.endpoints, e), e
	s.registry.add(now, e)
}

// drain has a unit leave: listed as draining now, its process ends a little later.
func (s *service) drain(now float64, e *endpoint) {
	e.state, e.endedAt = relay.Draining, math.Min(e.endedAt, now+drainTime)
	s.registry.scheduleChange(now, e)
}

// bury lists units whose process has ended after a drain as gone, and drops all that are gone.
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

// die ends a unit's process without a word.
func (s *service) crash(now float64, e *endpoint) {
	e.endedAt, e.state = now, relay.Removed
	s.registry.scheduleChange(now+crashDetectionTime, e)
}

// aggregatorsSeenFrom are the relays that a region's relays hold for fusers: the lowest-numbered that were heard of late.
func (s *service) aggregatorsSeenFrom(now float64, region int, n *network) []*identity {
	var out []*identity
	for _, r := range s.relays {
		if lost := !r.alive && now-r.downSince > aggregatorTimeout; !lost && n.carries(r.region, region) {
			if out = append(out, r); len(out) == aggregatorCount {
				break
			}
		}
	}
	return out
}

const aggregatorTimeout = 3.0 // s without a word after which a fuser counts as lost
