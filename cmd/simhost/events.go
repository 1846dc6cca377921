package main

import (
	"lichenroad/relay"
	"lichenroad/simwire"
)

// toSeconds converts nanoseconds into seconds.
func toSeconds(ns uint64) float64 { return float64(ns) / nanosecondsPerSecond }

var outcomes = map[simwire.Outcome]relay.Outcome{
	simwire.OutcomeSucceeded:        relay.Succeeded,
	simwire.OutcomeRejected:         relay.RejectedByEndpoint,
	simwire.OutcomeTimedOut:         relay.TimedOut,
	simwire.OutcomeConnectFailed:    relay.ConnectFailed,
	simwire.OutcomeConnectionBroken: relay.ConnectionBroken,
	simwire.OutcomeCancelled:        relay.Cancelled,
	simwire.OutcomeNotSent:          relay.NotSent,
}

func outcome(code simwire.Outcome) relay.Outcome {
	if known, ok := outcomes[code]; ok {
		return known
	}
	return relay.Errored
}

// event converts an event from the simulator into the event for the instance's decision module.
func (h *host) event(in *instance, e *simwire.Event) relay.Event {
	switch e.Code {
	case simwire.EventListUpdate:
		return h.listUpdate(in, e)
	case simwire.EventRequest:
		return request(in, e)
	case simwire.EventAttemptEnded:
		return attemptEnded(e)
	case simwire.EventStreamStarted:
		return streamStarted(e)
	case simwire.EventClientDisconnected:
		return relay.ClientDisconnected{Request: relay.RequestID(e.Request)}
	case simwire.EventTimerFired:
		return relay.TimerFired{ID: relay.TimerID(e.Timer)}
	case simwire.EventHealthCheckEnded:
		return healthCheckEnded(e)
	case simwire.EventMessage:
		return relay.MessageReceived{From: relay.ID(e.From), Body: append([]byte(nil), e.Body...)}
	case simwire.EventRolloutStatus:
		return rolloutStatus(e)
	case simwire.EventReportedCounts:
		return reportedCounts(e)
	default: // simwire.EventMisreportedOutcome; the reader rejects all unknown codes
		return misreportedOutcome(e)
	}
}

func request(in *instance, e *simwire.Event) relay.Request {
	return relay.Request{
		ID:       relay.RequestID(e.Request),
		Deadline: in.seconds(e.Deadline),
		Work:     toSeconds(e.Work),
		HasWork:  e.Flags&simwire.FlagHasWork != 0,
		Retried:  e.Flags&simwire.FlagRetried != 0,
		Key:      relay.Key(e.Key),
		Tenant:   relay.Tenant(e.Tenant),
		Class:    relay.RequestClass(e.Class),
	}
}

func attemptEnded(e *simwire.Event) relay.AttemptEnded {
	return relay.AttemptEnded{
		Request:         relay.RequestID(e.Request),
		Attempt:         relay.AttemptNumber(e.Attempt),
		Endpoint:        relay.EndpointID(e.Endpoint),
		Outcome:         outcome(e.Outcome),
		Duration:        toSeconds(e.Duration),
		RequestFinished: e.RequestFinished != 0,
		LoadReport:      e.LoadReport,
	}
}

func streamStarted(e *simwire.Event) relay.StreamStarted {
	return relay.StreamStarted{
		Request:  relay.RequestID(e.Request),
		Attempt:  relay.AttemptNumber(e.Attempt),
		Endpoint: relay.EndpointID(e.Endpoint),
		Duration: toSeconds(e.Duration),
	}
}

func healthCheckEnded(e *simwire.Event) relay.HealthCheckEnded {
	return relay.HealthCheckEnded{
		Endpoint:   relay.EndpointID(e.Endpoint),
		Duration:   toSeconds(e.Duration),
		Outcome:    outcome(e.Outcome),
		LoadReport: e.LoadReport,
	}
}

func rolloutStatus(e *simwire.Event) relay.RolloutStatus {
	status := relay.RolloutStatus{
		Valid:         e.Outcome == simwire.OutcomeSucceeded,
		Build:         relay.Build(e.Build),
		Stage:         relay.Stage(e.Stage),
		Phase:         relay.Phase(e.Phase),
		ExposureLimit: float64(e.ExposureLimit),
		Age:           toSeconds(e.Age),
	}
	if e.VoteReply != 1 {
		return status
	}
	switch e.Outcome {
	case simwire.OutcomeSucceeded:
		status.Reply = relay.ReplyCounted
	case simwire.OutcomeTimedOut:
		status.Reply = relay.ReplyMaybeCounted
	case simwire.OutcomeNotSent:
		status.Reply = relay.ReplyStale
	default:
		status.Reply = relay.ReplyNotCounted
	}
	return status
}

func reportedCounts(e *simwire.Event) relay.ReportedCounts {
	return relay.ReportedCounts{
		Build:        relay.Build(e.Build),
		Class:        relay.RequestClass(e.Class),
		Attempts:     int(e.Attempts),
		Failures:     int(e.Failures),
		MeanDuration: toSeconds(e.Duration),
		Age:          toSeconds(e.Age),
	}
}

func misreportedOutcome(e *simwire.Event) relay.MisreportedOutcome {
	return relay.MisreportedOutcome{
		Class:    relay.RequestClass(e.Class),
		Endpoint: relay.EndpointID(e.Endpoint),
		Age:      toSeconds(e.Age),
	}
}

var listKinds = map[simwire.ListKind]relay.ListUpdateKind{
	simwire.ListCached: relay.ListCached,
	simwire.ListDelta:  relay.ListDelta,
	simwire.ListFull:   relay.ListFull,
}

// listUpdate converts a list update. An update of an unknown kind, or of a list that was never sent, becomes a failed call
// to discovery.
func (h *host) listUpdate(in *instance, e *simwire.Event) relay.ListUpdate {
	kind, known := listKinds[e.ListKind]
	if !known || int(e.List) >= len(h.lists) {
		return relay.ListUpdate{Kind: relay.ListFetchFailed}
	}
	update := relay.ListUpdate{Kind: kind}
	for _, entry := range h.lists[e.List] {
		update.Endpoints = append(update.Endpoints, endpoint(in, entry))
	}
	return update
}

func endpoint(in *instance, entry simwire.Entry) relay.Endpoint {
	converted := relay.Endpoint{
		ID:            relay.EndpointID(entry.Endpoint),
		Zone:          relay.Zone(entry.Zone),
		MachineType:   relay.MachineType(entry.MachineType),
		FailureDomain: relay.FailureDomain(entry.FailureDomain),
		Build:         relay.Build(entry.Build),
		Weight:        float64(entry.Weight),
		StartKnown:    entry.StartedAt != 0,
		StartedAt:     in.seconds(entry.StartedAt),
	}
	switch entry.State {
	case simwire.EndpointDraining:
		converted.State = relay.Draining
	case simwire.EndpointReady:
		converted.State = relay.Ready
	}
	return converted
}
