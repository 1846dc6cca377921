// Package platform casts votes and listens for news of builds, on two connections to the platform.
package platform

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
)

// Desk talks to the platform.
type Client struct {
	loop    *pipeline.Loop
	address atomic.Value // string
	wait    time.Duration
	votes   chan relay.Vote
	signs   chan sign

	// Hear, where it is set, gets all that is told, on the loop: news, and signs of life as news that are not valid.
	OnStatus func(*pipeline.Loop, relay.RolloutStatus)
}

// New returns a desk; without an address there is no platform, and votes are not counted.
func New(l *pipeline.Loop, address string) *Client {
	d := &Client{loop: l, wait: limits.DefaultCallTimeout, votes: make(chan relay.Vote, limits.MaxQueuedVotes), signs: make(chan sign)}
	d.address.Store(address)
	if t := l.Site.Rollout.CallTimeout; t > 0 {
		d.wait = time.Duration(t * float64(time.Second))
	}
	return d
}

// Start serves until the program ends.
func (d *Client) Start() {
	if d.where() == "" {
		return
	}
	go d.voting()
	go d.watching()
}

// Listen only listens to what is told, until the program ends.
func (d *Client) Listen() { go d.watching() }

func (d *Client) where() string { return d.address.Load().(string) }

// Move goes over to another address. Votes that are open at the old one still get their answers there; a fresh
// watch is opened at the new one at once and takes the old one's place when it stands.
func (d *Client) Move(address string) {
	switch old := d.address.Swap(address).(string); {
	case old == address:
	case old == "":
		d.Start()
	default:
		go func() { d.signs <- sign{what: moved} }()
	}
}

// Vote casts a vote; the answer reaches the module as news.
func (d *Client) Vote(v relay.Vote) {
	if d.where() != "" {
		select {
		case d.votes <- v:
			return
		default:
			d.loop.Metrics.Add(metrics.QueueLimitReached, 1)
		}
	}
	d.tell(relay.RolloutStatus{Reply: relay.ReplyNotCounted})
}

func (d *Client) tell(n relay.RolloutStatus) {
	switch n.Reply {
	case relay.ReplyNone:
		d.loop.Metrics.Add(metrics.RolloutStatuses, 1)
	case relay.ReplyCounted:
		d.loop.Metrics.Add(metrics.VotesCounted, 1)
	case relay.ReplyNotCounted:
		d.loop.Metrics.Add(metrics.VotesNotCounted, 1)
	case relay.ReplyStale:
		d.loop.Metrics.Add(metrics.VotesStale, 1)
	case relay.ReplyMaybeCounted:
		d.loop.Metrics.Add(metrics.VotesMaybeCounted, 1)
	}
	d.loop.Post(pipeline.Func(func(l *pipeline.Loop) {
		if d.OnStatus != nil {
			d.OnStatus(l, n)
		} else {
			l.RolloutStatusReceived(n)
		}
	}))
}

// line is a connection that is read line by line.
type line struct {
	d     *Client
	where string
	net   netpoll.Connection
	split linewire.Splitter
	lines []string
	begun time.Time
	calls int
}

func (d *Client) dial(where string) (*line, error) {
	n, err := netpoll.DialConnection("tcp", where, d.wait)
	if err != nil {
		end := metrics.ConnectionEnd{Peer: metrics.PeerPlatform, Name: where, Reason: metrics.ClosedByConnectError, Err: err}
		end.Log(d.loop.Log)
		return nil, err
	}
	n.SetWriteTimeout(d.wait)
	return &line{d: d, where: where, net: n, begun: time.Now()}, nil
}

func (c *line) end(why metrics.CloseReason) {
	c.net.Close()
	end := metrics.ConnectionEnd{Peer: metrics.PeerPlatform, Name: c.where, Reason: why, Age: time.Since(c.begun).Seconds(), Requests: c.calls}
	end.Log(c.d.loop.Log)
}

var errLate = errors.New("no line in time")

// next gives the next line.
func (c *line) next(wait time.Duration) (string, error) {
	until := time.Now().Add(wait)
	r := c.net.Reader()
	for len(c.lines) == 0 {
		left := time.Until(until)
		if left <= 0 {
			return "", errLate
		}
		c.net.SetReadTimeout(left)
		if _, err := r.Peek(1); err != nil {
			if errors.Is(err, netpoll.ErrReadTimeout) {
				return "", errLate
			}
			return "", err
		}
		b, _ := r.Next(r.Len())
		err := c.split.Feed(b, func(s string) { c.lines = append(c.lines, s) })
		r.Release()
		if err != nil {
			return "", err
		}
	}
	s := c.lines[0]
	c.lines = c.lines[1:]
	return s, nil
}

// reason sorts a failure to read.
func (d *Client) reason(err error) metrics.CloseReason {
	switch {
	case errors.Is(err, errLate):
		return metrics.ClosedByResponseTimeout
	case errors.Is(err, linewire.ErrMalformed), errors.Is(err, linewire.ErrTooLong):
		d.loop.Metrics.Add(metrics.BadInput, 1)
		return metrics.ClosedByBadInput
	}
	return metrics.ClosedByPeer
}

// ballot is a connection for votes: they are written one behind another, and the answers come in their order.
type ballot struct {
	*line
	mu     sync.Mutex
	open   []time.Time // when the votes without an answer were cast
	usedAt time.Time
	over   bool
}

// voting casts votes as the module orders them.
func (d *Client) voting() {
	var b *ballot
	for v := range d.votes {
		where := d.where()
		if b != nil && b.where == where && b.cast(v) {
			continue
		}
		c, err := d.dial(where)
		for ; err != nil && where != d.where(); c, err = d.dial(where) {
			where = d.where() // it moved meanwhile; nothing was written
		}
		if err != nil {
			d.tell(relay.RolloutStatus{Reply: relay.ReplyNotCounted})
			continue
		}
		b = &ballot{line: c, usedAt: time.Now()}
		go b.answers()
		if !b.cast(v) {
			d.tell(relay.RolloutStatus{Reply: relay.ReplyNotCounted}) // gone again, before anything was written
		}
	}
}

// cast writes a vote, and says whether the connection took it on: then its answer, or that there is none, is
// told later.
func (b *ballot) cast(v relay.Vote) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over || !b.net.IsActive() {
		return false
	}
	b.usedAt = time.Now()
	b.open = append(b.open, b.usedAt)
	b.calls++
	b.net.Write([]byte(linewire.VoteLine(v))) // where it fails, the reader sees the end of the connection
	return true
}

// due is how long the oldest vote may still wait for its answer, or else an idle connection be kept.
func (b *ballot) due() (left time.Duration, idle bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.open) == 0 {
		return limits.VoteConnIdleTimeout - time.Since(b.usedAt), true
	}
	return b.d.wait - time.Since(b.open[0]), false
}

// rest takes no more votes, unless one is open by now: closed as idle, that one would only be said to may have counted.
func (b *ballot) rest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = len(b.open) == 0
	return b.over
}

// answers reads until an answer is late or can't be read, or nothing was asked for long. Votes that are open
// then may have counted.
func (b *ballot) answers() {
	why, err := metrics.ClosedByIdleTimeout, error(nil)
	for {
		left, idle := b.due()
		if left <= 0 {
			if idle && !b.rest() {
				continue // a vote was cast meanwhile
			}
			if !idle {
				why = metrics.ClosedByResponseTimeout
			}
			break
		}
		var s string
		s, err = b.next(min(left, b.d.wait)) // no longer, as a vote may be cast meanwhile
		if errors.Is(err, errLate) {
			continue
		}
		if err == nil {
			err = b.answer(s)
		}
		if err != nil {
			why = b.d.reason(err)
			break
		}
	}
	b.mu.Lock()
	b.over = true
	open := b.open
	b.open = nil
	b.end(why)
	b.mu.Unlock()
	for range open {
		b.d.tell(relay.RolloutStatus{Reply: relay.ReplyMaybeCounted})
	}
}

// answer matches a line to the oldest open vote.
func (b *ballot) answer(s string) error {
	reply, err := linewire.ParseReply(s)
	if err != nil || reply.Unsolicited {
		return err
	}
	if reply.Error == "" && !reply.Status.Valid {
		return linewire.ErrMalformed
	}
	b.mu.Lock()
	known := len(b.open) > 0
	if known {
		b.open = b.open[1:]
	}
	b.mu.Unlock()
	if !known {
		return linewire.ErrMalformed // nothing was asked
	}
	news := reply.Status
	news.Reply = relay.ReplyCounted
	if reply.Error != "" {
		b.d.loop.Log.WithFields(logrus.Fields{"peer": "platform", "error": reply.Error}).Info("vote not counted")
		if news.Reply = relay.ReplyNotCounted; reply.Error == linewire.CodeStale {
			news.Reply = relay.ReplyStale
		}
	}
	b.d.tell(news)
	return nil
}

// sign is what a watch tells the one who keeps them.
type sign struct {
	w    *watch // nil: of a move
	what int
}

const (
	stands = iota // the platform tells things on it
	silent        // no line for a while
	over          // it ended, or never came up
	moved         // the platform is at another address
)

// watch is a connection that is told things, on a goroutine of its own: news must not wait while another
// connection comes up.
type watch struct {
	d        *Client
	where    string
	replaced atomic.Bool
}

// watching keeps a watch. When it has been silent for long, or the platform has moved, a fresh one is opened
// beside it and takes its place once it stands.
func (d *Client) watching() {
	var standing, coming *watch
	off := time.Duration(limits.MinBackoff)
	begin := func(after time.Duration) {
		coming = &watch{d: d, where: d.where()}
		go coming.run(after)
	}
	begin(0)
	for s := range d.signs {
		switch {
		case s.what == moved:
			if coming != nil {
				coming.replaced.Store(true)
			}
			off = limits.MinBackoff
			begin(0)
		case s.w == coming && s.what == stands:
			if standing != nil {
				standing.replaced.Store(true)
			}
			standing, coming, off = s.w, nil, limits.MinBackoff
		case s.w == coming: // it did not come up
			coming = nil
			if standing == nil || standing.where != d.where() {
				begin(off)
				off = min(2*off, limits.MaxBackoff)
			}
		case s.w == standing:
			if s.what == over {
				standing = nil
			}
			if coming == nil {
				begin(0)
			}
		}
	}
}

// run opens the connection, waits for the word that it stands, and hands over what is told.
func (w *watch) run(after time.Duration) {
	defer func() { w.d.signs <- sign{w, over} }()
	time.Sleep(after)
	if w.replaced.Load() {
		return
	}
	c, err := w.d.dial(w.where)
	if err != nil {
		return
	}
	c.calls++
	if _, err = c.net.Write([]byte(linewire.WatchLine)); err == nil {
		err = w.read(c)
	}
	why := w.d.reason(err)
	if w.replaced.Load() {
		why = metrics.ClosedByReplacement
	}
	c.end(why)
}

func (w *watch) read(c *line) error {
	up := false
	for wait := w.d.wait; !w.replaced.Load(); {
		s, err := c.next(wait)
		switch {
		case errors.Is(err, errLate) && up:
			w.d.signs <- sign{w, silent}
		case err != nil:
			return err
		case !up && s == "OK":
			up, wait = true, limits.HeartbeatTimeout
			w.d.signs <- sign{w, stands}
		default:
			if err := w.d.heard(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// heard takes a line that was told.
func (d *Client) heard(s string) error {
	reply, err := linewire.ParseReply(s)
	if err == nil && !reply.Unsolicited {
		return linewire.ErrMalformed // nothing was asked
	}
	if err == nil && (reply.Status.Valid || d.OnStatus != nil) {
		d.tell(reply.Status)
	}
	return err
}
