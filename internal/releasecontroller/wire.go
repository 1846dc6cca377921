package releasecontroller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/plan"
	"lichenroad/relay"
)

// The one block of socket matters, each with unit and reason.
const (
	connsEach  = 32               // connections at one address, as the platform's page says; more are reset
	idleFor    = 10 * time.Second // after which a connection that watches nothing is closed, as that page says
	signEvery  = 1 * time.Second  // between signs of life, as it says
	againEvery = 5 * time.Second  // after which the state is told again: a line that was lost is made up for
	mostBehind = 256 << 10        // bytes that a reader may be behind, as it says
	writeFor   = 2 * time.Second  // that a write may take: a reader that takes nothing is cut off
	callsAhead = 64               // calls of a connection that wait for the loop: a relay has a few out
)

// port is one address of the desk: of one relay, or for whoever watches a service.
type port struct {
	desk    *Controller
	service plan.ServiceIndex
	relay   string // none: votes are not taken here
	ln      net.Listener
	open    atomic.Int64
}

// line is one connection.
type line struct {
	port  *port
	net   netpoll.Connection
	begun time.Time
	split linewire.Splitter
	calls atomic.Int64
	used  atomic.Int64 // Unix nanoseconds of the last call
	ahead atomic.Int64

	watching bool // of the loop

	mu      sync.Mutex
	queue   []string
	behind  int
	writing bool
	over    bool
	reason  metrics.CloseReason
	fault   error
}

type lineKey struct{}

// listen opens a port.
func (d *Controller) listen(service plan.ServiceIndex, relay, address string) (*port, error) {
	p := &port{desk: d, service: service, relay: relay}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p.ln = ln
	loop, err := netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error { return ctx.Value(lineKey{}).(*line).read() },
		netpoll.WithOnPrepare(p.accept))
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("listen: %w", err)
	}
	go loop.Serve(ln)
	return p, nil
}

func (p *port) accept(n netpoll.Connection) context.Context {
	c := &line{port: p, net: n, begun: time.Now()}
	c.used.Store(c.begun.UnixNano())
	n.SetWriteTimeout(writeFor)
	n.AddCloseCallback(c.closed)
	if p.open.Add(1) > connsEach {
		c.end(metrics.ClosedByLimit, nil)
		return context.WithValue(context.Background(), lineKey{}, c)
	}
	p.desk.post(func(d *Controller) { d.lines[c] = struct{}{} })
	return context.WithValue(context.Background(), lineKey{}, c)
}

func (c *line) closed(netpoll.Connection) error {
	c.port.open.Add(-1)
	c.mu.Lock()
	c.over = true
	if c.reason == "" {
		c.reason = metrics.ClosedByPeer
	}
	why, fault := c.reason, c.fault
	c.mu.Unlock()
	name := c.port.relay
	if name == "" {
		name = c.net.RemoteAddr().String()
	}
	end := metrics.ConnectionEnd{Peer: metrics.PeerRelay, Name: name, Reason: why, Age: time.Since(c.begun).Seconds(),
		Requests: int(c.calls.Load()), Err: fault}
	end.Log(c.port.desk.log)
	c.port.desk.post(func(d *Controller) { delete(d.lines, c) })
	return nil
}

func (c *line) end(why metrics.CloseReason, fault error) {
	c.mu.Lock()
	if c.reason == "" {
		c.reason, c.fault = why, fault
	}
	c.over = true
	c.mu.Unlock()
	c.net.Close()
}

// read takes what has come.
func (c *line) read() error {
	r := c.net.Reader()
	b, err := r.Next(r.Len())
	if err != nil {
		return err
	}
	err = c.split.Feed(b, c.call)
	r.Release()
	if err != nil {
		c.end(metrics.ClosedByBadInput, err)
	}
	return nil
}

// call takes one line. A call that can't be read is answered as such; the connection stays, as the page has it.
func (c *line) call(text string) {
	c.calls.Add(1)
	c.used.Store(time.Now().UnixNano())
	if c.ahead.Add(1) > callsAhead {
		c.ahead.Add(-1)
		c.send(linewire.ErrorLine("Throttling"))
		return
	}
	call, err := linewire.ParseCall(text)
	c.port.desk.post(func(d *Controller) {
		c.ahead.Add(-1)
		switch {
		case err != nil:
			d.later(c, func() string { return linewire.ErrorLine("ValidationError") })
		case call.Watch:
			d.later(c, func() string {
				c.watching = true
				out := linewire.OKLine
				if n := d.core.Statuses(c.port.service, d.now()); n.Valid {
					out += linewire.StatusNoticeLine(n)
				}
				return out
			})
		default:
			d.vote(c, call.Vote)
		}
	})
}

var errBehind = errors.New("too far behind")

// send queues text; a goroutine writes it, so that nobody waits for a slow reader.
func (c *line) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	if c.behind += len(text); c.behind > mostBehind {
		go c.end(metrics.ClosedByWriteError, errBehind)
		return
	}
	c.queue = append(c.queue, text)
	if !c.writing {
		c.writing = true
		go c.drain()
	}
}

func (c *line) drain() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 || c.over {
			c.writing = false
			c.mu.Unlock()
			return
		}
		text := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		if _, err := c.net.Write([]byte(text)); err != nil {
			c.end(metrics.ClosedByWriteError, err)
			return
		}
		c.mu.Lock()
		c.behind -= len(text)
		c.mu.Unlock()
	}
}

// vote counts a vote, if it may count. The answer goes out once it is on disk.
func (d *Controller) vote(c *line, v relay.Vote) {
	if c.port.relay == "" {
		d.later(c, func() string { return linewire.ErrorLine("ValidationError") })
		return
	}
	e, refused := d.core.Vote(c.port.service, c.port.relay, v, d.now())
	if refused != "" {
		d.later(c, func() string { return linewire.ErrorLine(string(refused)) })
		return
	}
	d.do(e)
	d.later(c, func() string { return linewire.StatusReplyLine(d.core.Statuses(c.port.service, d.now())) })
}
