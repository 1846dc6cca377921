// Package platform is the client of the release platform. It sends votes on one connection and watches the rollout status
// on another.
//
// Both connections watch: on one connection the replies to votes and the notices arrive in the order in which the platform
// wrote them, which two connections lose. A rollout.StatusOrder uses that to tell which status is the present one.
//
// A Client runs two goroutines until the process ends: voteLoop sends the votes that the decision module casts, and
// watchLoop keeps a watch established. Another goroutine reads each connection. Replies of the platform are passed to the
// decision module as rollout statuses, on the loop. The package imports internal/pipeline for the loop, internal/linewire
// for the line protocol, internal/limits and internal/metrics.
package platform

import (
	"sync/atomic"
	"time"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/rollout"
)

// Client is the connection of one service to the platform. Its methods may be called on any goroutine and do not block.
type Client struct {
	// OnStatus, if set, receives the statuses that are applied on the loop instead of the decision module. It is also called
	// with a status that is not valid for each other notice, such as a keep-alive, which shows that the platform is alive. It
	// must be set before Start or StartWatch.
	OnStatus func(*pipeline.Loop, relay.RolloutStatus)

	loop        *pipeline.Loop
	address     atomic.Value  // string; empty: no platform is configured
	timeout     time.Duration // for connecting and for each reply
	votes       chan relay.Vote
	watchEvents chan watchEvent // handled by watchLoop
	lastSource  atomic.Uint64   // last rollout.StatusSource given to a connection
	version     atomic.Uint64   // order.Version(), for other goroutines than the loop's

	order *rollout.StatusOrder // owned by the loop
}

// New returns a client. If address is empty, the client does not watch, and reports each vote as not counted.
func New(loop *pipeline.Loop, address string) *Client {
	c := &Client{
		loop:        loop,
		timeout:     limits.DefaultCallTimeout,
		votes:       make(chan relay.Vote, limits.MaxQueuedVotes),
		watchEvents: make(chan watchEvent),
		order:       rollout.NewStatusOrder(loop.Site.Rollout.StatusInterval),
	}
	c.address.Store(address)
	if seconds := loop.Site.Rollout.CallTimeout; seconds > 0 {
		c.timeout = time.Duration(seconds * float64(time.Second))
	}
	return c
}

// Start starts the goroutines that vote and watch until the process ends. Without an address it does nothing.
func (c *Client) Start() {
	if c.currentAddress() == "" {
		return
	}
	go c.voteLoop()
	go c.watchLoop()
}

// StartWatch starts only the goroutine that watches, until the process ends.
func (c *Client) StartWatch() { go c.watchLoop() }

// SetAddress changes the platform's address. Replies to votes that are pending at the old address are still read. A watch
// is opened at the new address at once, and replaces the old one when it is established.
func (c *Client) SetAddress(address string) {
	previous := c.address.Swap(address).(string)
	if previous == address {
		return
	}
	if previous == "" {
		c.Start()
		return
	}
	go func() { c.watchEvents <- watchEvent{kind: addressChanged} }() // must not block while watchLoop is busy
}

// Vote queues a vote. Its result is reported as a rollout status; without an address or with a full queue it is
// relay.ReplyNotCounted.
func (c *Client) Vote(vote relay.Vote) {
	if c.currentAddress() != "" {
		select {
		case c.votes <- vote:
			return
		default:
			c.loop.Metrics.Add(metrics.QueueLimitReached, 1)
		}
	}
	c.reportResult(relay.ReplyNotCounted)
}

func (c *Client) currentAddress() string { return c.address.Load().(string) }
