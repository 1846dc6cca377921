package pipeline

import (
	"lichenroad/internal/metrics"
	"lichenroad/relay"
)

// execute carries out one command of the decision module. Commands for a request or an attempt that has ended are
// ignored, except SendAttempt (see route).
func (l *Loop) execute(command relay.Command) {
	switch command := command.(type) {
	case relay.SendAttempt:
		l.route(command)
	case relay.CancelUnsent:
		l.cancelUnsent(command)
	case relay.CancelAttempt:
		l.cancelAttempt(command)
	case relay.Reject:
		l.reject(command)
	case relay.Fail:
		l.fail(command)
	case relay.SetTimer:
		l.RunAt(command.At, func() { l.AddEvent(relay.TimerFired{ID: command.ID}) })
	case relay.HealthCheck:
		l.Metrics.Add(metrics.HealthChecks, 1)
		l.Upstream.HealthCheck(command.Endpoint)
	case relay.CloseIdle:
		l.Upstream.CloseIdle(command.Endpoint)
	case relay.SendMessage:
		l.Peers.SendMessage(command)
	case relay.Vote:
		l.vote(command)
	case relay.Watch:
		l.Discovery.Watch(command.On, command.Restart)
	case relay.FetchList:
		l.Discovery.FetchList()
	case relay.Log:
		l.Log.WithField("source", "policy").Info(command.Line)
	}
}

// vote passes a vote of the module to the guard if there is one, otherwise to the platform.
func (l *Loop) vote(vote relay.Vote) {
	l.Metrics.Add(metrics.Votes, 1)
	if l.Guard != nil {
		l.Guard.Vote(vote)
	} else {
		l.Platform.Vote(vote)
	}
}

// RolloutStatusReceived passes a rollout status from the platform to the guard if there is one, otherwise to the
// decision module. Must run on the loop goroutine.
func (l *Loop) RolloutStatusReceived(status relay.RolloutStatus) {
	if l.Guard != nil {
		l.Guard.RolloutStatusReceived(status)
	} else {
		l.AddEvent(status)
	}
}
