//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// request is what a client sent and got.
type request struct {
	id, class, object string
	sentAt, endedAt   time.Time
	deadline          time.Duration
	code              string // "ok", an error code, "closed" or "none"
	value             string
}

// client is a connection to a relay.
type client struct {
	r      *rig
	conn   net.Conn
	reader *bufio.Reader
}

func (r *rig) dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{r: r, conn: conn, reader: bufio.NewReader(conn)}
	body := append([]byte{0, 3, 0, 0}, "user\x00worker\x00database\x00catalog\x00\x00"...)
	startup := message(0, body)[1:]
	if _, err := conn.Write(startup); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	for {
		kind, body, err := readMessage(c.reader, false)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		if kind == 'Z' {
			return c, nil
		}
		if kind == 'E' {
			_ = conn.Close()
			return nil, fmt.Errorf("startup: %q", body)
		}
	}
}

// empty sends an empty query and waits for its answer.
func (c *client) empty() error {
	if _, err := c.conn.Write(message('Q', []byte{0})); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	for {
		kind, _, err := readMessage(c.reader, false)
		if err != nil || kind == 'Z' {
			return err
		}
	}
}

var lastID atomic.Uint64

func init() { lastID.Store(rand.Uint64()) }

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(0x9e3779b97f4a7c15)) }

// read is the statement of a request that reads an object.
func read(id, class, object string, deadline time.Duration, more string) string {
	return fmt.Sprintf("SELECT body FROM objects WHERE oid = '%s' /* id=%s,c=%s,t=acme,d=%d%s */", object, id, class,
		deadline.Milliseconds(), more)
}

// ask sends a request and waits up to a second past its time for the answer.
func (c *client) ask(class, object string, deadline time.Duration, more string) *request {
	q := &request{id: newID(), class: class, object: object, deadline: deadline, code: "none"}
	c.send(q, more)
	c.receive(q)
	return q
}

func (c *client) send(q *request, more string) {
	statement := read(q.id, q.class, q.object, q.deadline, more)
	q.sentAt = time.Now()
	c.r.logAt(q.sentAt, "sent id=%s c=%s o=%s d=%d", q.id, q.class, q.object, q.deadline.Milliseconds())
	if _, err := c.conn.Write(message('Q', append([]byte(statement), 0))); err != nil {
		q.code = "closed"
	}
}

func (c *client) receive(q *request) {
	_ = c.conn.SetReadDeadline(q.sentAt.Add(q.deadline + time.Second))
	for {
		kind, body, err := readMessage(c.reader, false)
		q.endedAt = time.Now()
		if err != nil {
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				q.code = "closed"
			}
			break
		}
		switch kind {
		case 'D':
			if len(body) > 6 {
				q.value = string(body[6:])
			}
		case 'C':
			q.code = "ok"
		case 'E':
			q.code = errorCode(body)
		}
		if kind == 'Z' {
			break
		}
	}
	c.r.logAt(q.endedAt, "answered id=%s %s after %.0f ms %s", q.id, q.code, q.endedAt.Sub(q.sentAt).Seconds()*1000, q.value)
}

func errorCode(body []byte) string {
	for len(body) > 1 {
		name := body[0]
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if name == 'C' {
			return string(body[1:end])
		}
		body = body[min(end+1, len(body)):]
	}
	return "?"
}

// load sends requests at a rate on kept connections until stop is closed, and collects them.
type load struct {
	r       *rig
	address string
	mu      sync.Mutex
	all     []*request
	done    sync.WaitGroup
}

// startLoad starts the clients: each has one connection and one request at a time, with the given gap between the beginnings.
func (r *rig) startLoad(address string, clients int, gap time.Duration, stop <-chan struct{}, next func() (class, object string, deadline time.Duration, more string)) *load {
	l := &load{r: r, address: address}
	for i := range clients {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			time.Sleep(time.Duration(i) * gap / time.Duration(clients))
			var c *client
			for at := time.Now(); ; at = at.Add(gap) {
				select {
				case <-stop:
					if c != nil {
						_ = c.conn.Close()
					}
					return
				case <-time.After(time.Until(at)):
				}
				if late := time.Since(at); late > gap {
					at = time.Now()
				}
				if c == nil {
					var err error
					if c, err = r.dial(address); err != nil {
						c = nil
						continue
					}
				}
				class, object, deadline, more := next()
				q := c.ask(class, object, deadline, more)
				l.mu.Lock()
				l.all = append(l.all, q)
				l.mu.Unlock()
				if q.code == "closed" || q.code == "none" {
					_ = c.conn.Close()
					c = nil
				}
			}
		}()
	}
	return l
}

// requests returns the requests that have ended.
func (l *load) requests() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*request(nil), l.all...)
}
