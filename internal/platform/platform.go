// Package platform is the client of the release platform: it sends votes on one connection and watches the rollout status
// on another.
//
// A Client owns the address of the platform and two long-lived goroutines: voteLoop sends the votes that the decision code
// queues, watchLoop keeps a watch established; each connection has a reader of its own. What the platform replies reaches
// the decision code as rollout statuses on the loop. The package imports the loop (internal/pipeline), the line codec
// (internal/linewire), limits and metrics.
package platform

import (
	"sync/atomic"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// Client talks to the platform for one service. Its methods may be called on any goroutine and do not block.
type Client struct {
	// OnStatus, if set, receives all statuses on the loop in place of the decision code. Other notices, which show that the
	// platform is alive, are reported to it alone, as statuses that are not valid. It is set before Start or StartWatch.
	OnStatus func(*pipeline.Loop, relay.RolloutStatus)

	loop        *pipeline.Loop
	address     atomic.Value  // string; empty: there is no platform
	timeout     time.Duration // of connecting and of each reply
	votes       chan relay.Vote
	watchEvents chan watchEvent // for watchLoop
}

// New returns a client. Without an address there is no platform: nothing is watched, and votes are not counted.
func New(loop *pipeline.Loop, address string) *Client {
	c := &Client{
		loop:        loop,
		timeout:     limits.DefaultCallTimeout,
		votes:       make(chan relay.Vote, limits.MaxQueuedVotes),
		watchEvents: make(chan watchEvent),
	}
	c.address.Store(address)
	if seconds := loop.Site.Rollout.CallTimeout; seconds > 0 {
		c.timeout = time.Duration(seconds * float64(time.Second))
	}
	return c
}

// Start begins to vote and watch, which goes on until the process ends. Without an address it does nothing.
func (c *Client) Start() {
	if c.currentAddress() == "" {
		return
	}
	go c.voteLoop()
	go c.watchLoop()
}

// StartWatch begins to watch only, until the process ends.
func (c *Client) StartWatch() { go c.watchLoop() }

// SetAddress changes the platform's address. Votes without a reply at the old address still get it there. A watch is opened
// at the new one at once, and replaces the old one when it is established.
func (c *Client) SetAddress(address string) {
	old := c.address.Swap(address).(string)
	if old == address {
		return
	}
	if old == "" {
		c.Start()
		return
	}
	go func() { c.watchEvents <- watchEvent{kind: addressChanged} }() // watchLoop may be busy
}

// Vote queues a vote. Its result reaches the decision code as a rollout status.
func (c *Client) Vote(vote relay.Vote) {
	if c.currentAddress() != "" {
		select {
		case c.votes <- vote:
			return
		default:
			c.loop.Metrics.Add(metrics.QueueLimitReached, 1)
		}
	}
	c.report(relay.RolloutStatus{Reply: relay.ReplyNotCounted})
}

func (c *Client) currentAddress() string { return c.address.Load().(string) }

// report counts a status and passes it on, on the loop.
func (c *Client) report(status relay.RolloutStatus) {
	c.countStatus(status.Reply)
	c.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		if c.OnStatus != nil {
			c.OnStatus(l, status)
			return
		}
		l.RolloutStatusReceived(status)
	}))
}

func (c *Client) countStatus(reply relay.VoteReply) {
	switch reply {
	case relay.ReplyNone:
		c.loop.Metrics.Add(metrics.RolloutStatuses, 1)
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
