package platform

import (
	"github.com/sirupsen/logrus"

	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// statusOrigin tells how a status was received.
type statusOrigin struct {
	conn  *lineConn             // nil: from the configuration, or made by the client itself
	after rollout.StatusVersion // see rollout.StatusReport
}

// SetInitialStatus passes on a status from another source than the platform, such as the configuration. All statuses of the
// platform count as later. It must be called before Start.
func (c *Client) SetInitialStatus(status relay.RolloutStatus) {
	if status.Valid {
		c.order.Receive(c.loop.Clock.Now(), rollout.StatusReport{Status: status})
		c.version.Store(uint64(c.order.Version()))
	}
	c.loop.Post(pipeline.Func(func(l *pipeline.Loop) { c.deliver(l, status) }))
}

// statusVersion returns the version of the present status. Any goroutine may call it. A status that answers a call was sent
// after that version if statusVersion was called before the call was written.
func (c *Client) statusVersion() rollout.StatusVersion {
	return rollout.StatusVersion(c.version.Load())
}

// reportResult reports the result of a vote that the platform did not answer.
func (c *Client) reportResult(reply relay.VoteReply) {
	c.reportStatus(statusOrigin{}, relay.RolloutStatus{Reply: reply})
}

// reportStatus counts a status and passes it to the loop.
func (c *Client) reportStatus(origin statusOrigin, status relay.RolloutStatus) {
	c.countStatus(origin, status.Reply)
	c.loop.Post(pipeline.Func(func(l *pipeline.Loop) { c.statusReceived(l, origin, status) }))
}

// statusReceived delivers the present status if it has changed or was repeated, and the result of a vote. It runs on the loop.
func (c *Client) statusReceived(l *pipeline.Loop, origin statusOrigin, status relay.RolloutStatus) {
	if !status.Valid {
		c.deliver(l, status)
		return
	}
	now := l.Clock.Now()
	known := c.order.Present(now)
	report := rollout.StatusReport{Source: origin.conn.source, After: origin.after, Status: status}
	decision := c.order.Receive(now, report)
	c.version.Store(uint64(c.order.Version()))
	if decision != rollout.StatusApplied {
		c.logDecision(origin, status, known, decision)
	}
	present := c.order.Present(now)
	present.Reply = status.Reply
	present.Confirmed = decision == rollout.StatusConfirmed
	switch {
	case decision.Applies() || present.ExposureLimit != known.ExposureLimit:
		c.deliver(l, present)
	case status.Reply != relay.ReplyNone:
		c.deliver(l, relay.RolloutStatus{Reply: status.Reply})
	}
}

// deliver passes a status to OnStatus or the decision module. It runs on the loop.
func (c *Client) deliver(l *pipeline.Loop, status relay.RolloutStatus) {
	if c.OnStatus != nil {
		c.OnStatus(l, status)
		return
	}
	l.RolloutStatusReceived(status)
}

// connectionClosed forgets what a connection has delivered, after the last of its statuses.
func (c *Client) connectionClosed(source rollout.StatusSource) {
	c.loop.Post(pipeline.Func(func(*pipeline.Loop) { c.order.Close(source) }))
}

// countStatus increments the counter for the kind of a status.
func (c *Client) countStatus(origin statusOrigin, reply relay.VoteReply) {
	switch reply {
	case relay.ReplyNone:
		id := metrics.RolloutStatuses
		if origin.conn.carriesVotes {
			id = metrics.RolloutStatusesBesideVotes
		}
		c.loop.Metrics.Add(id, 1)
	case relay.ReplyCounted:
		c.loop.Metrics.Add(metrics.VotesCounted, 1)
	case relay.ReplyNotCounted:
		c.loop.Metrics.Add(metrics.VotesNotCounted, 1)
	case relay.ReplyStale:
		c.loop.Metrics.Add(metrics.VotesStale, 1)
	case relay.ReplyMaybeCounted:
		c.loop.Metrics.Add(metrics.VotesMaybeCounted, 1)
	}
}

// logDecision counts and logs a status that was not simply applied, beside the status that was known.
func (c *Client) logDecision(origin statusOrigin, status, known relay.RolloutStatus, decision rollout.StatusDecision) {
	message := "rollout status not applied"
	switch decision {
	case rollout.StatusUnordered, rollout.StatusRestricting:
		c.loop.Metrics.Add(metrics.RolloutStatusesUnordered, 1)
	case rollout.StatusBackward:
		c.loop.Metrics.Add(metrics.RolloutStatusesBackward, 1)
	default:
		message = "rollout status applied after repetition"
	}
	line := "notice"
	if status.Reply != relay.ReplyNone {
		line = "vote_reply"
	}
	fields := logrus.Fields{"peer": string(metrics.PeerPlatform), "name": origin.conn.address, "line": line, "reason": decision.String()}
	addStatusFields(fields, "", status)
	addStatusFields(fields, "known_", known)
	c.loop.Log.WithFields(fields).Info(message)
}

// addStatusFields adds the fields of a status to those of a log line. The age is that of the moment of sending, in seconds.
func addStatusFields(fields logrus.Fields, prefix string, status relay.RolloutStatus) {
	fields[prefix+"build"] = status.Build
	fields[prefix+"stage"] = status.Stage
	fields[prefix+"phase"] = status.Phase
	fields[prefix+"exposure_limit"] = status.ExposureLimit
	fields[prefix+"age"] = status.Age
}
