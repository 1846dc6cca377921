// Package fakes has small stand-ins for what stands round a relay, on loopback sockets: planners and clients that
// speak the published part of PostgreSQL's wire protocol, and discovery.
package fakes

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lichenroad/internal/pgwire"
)

const maxMessageBytes = 1 << 20 // bytes of a message that is read

// ReadMessage reads one message, without a type byte where it is a startup.
func ReadMessage(r io.Reader, startup bool) (byte, []byte, error) {
	head := make([]byte, 5)
	if startup {
		head = head[:4]
	}
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[len(head)-4:])) - 4
	if n < 0 || n > maxMessageBytes {
		return 0, nil, errors.New("a message of no length that is taken")
	}
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return head[0], body, err
}

// Planner is a server that answers queries.
type Server struct {
	Name        string
	Workers     int           // queries at a time; more wait
	ServiceTime time.Duration // for each
	FailureRate float64       // part that it answers with an error
	FailAfter   time.Duration // of its life from which it does so
	Seed        int64
	MaxInFlight int                                                     // queries that it holds before it turns more away; 0: any number
	Handle      func(statement string) (took time.Duration, fails bool) // in the place of Took and Fails, where given
	InProgress  *atomic.Int64                                           // where given: queries that are worked on
	QueryLog    io.Writer                                               // gets a line for each query that comes: leg, Unix nanoseconds, id, customer

	once      sync.Once
	slots     chan struct{}
	startedAt time.Time
	inFlight  atomic.Int64 // queries that wait or are worked on
	mu        sync.Mutex
	rng       *rand.Rand
}

// Serve answers on a listener until it is closed.
func (p *Server) Serve(ln net.Listener) error {
	p.once.Do(func() {
		p.slots, p.startedAt, p.rng = make(chan struct{}, max(p.Workers, 1)), time.Now(), rand.New(rand.NewSource(p.Seed))
	})
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go p.serve(c)
	}
}

func (p *Server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if _, _, err := ReadMessage(r, true); err != nil {
		return
	}
	if _, err := c.Write(pgwire.StartupResponse(1)); err != nil {
		return
	}
	for {
		kind, body, err := ReadMessage(r, false)
		if err != nil || kind != 'Q' {
			return
		}
		text := strings.TrimRight(string(body), "\x00")
		if text == "" {
			c.Write(pgwire.EmptyQueryResponse())
			continue
		}
		if p.QueryLog != nil {
			p.mu.Lock()
			fmt.Fprintf(p.QueryLog, "leg %d %s %s\n", time.Now().UnixNano(), field(text, "id="), field(text, "t="))
			p.mu.Unlock()
		}
		if n := p.inFlight.Add(1); p.MaxInFlight > 0 && n > int64(p.MaxInFlight) {
			p.inFlight.Add(-1)
			c.Write(pgwire.Ready(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeFull, "full", "")))
			continue
		}
		fails := p.work(text)
		p.inFlight.Add(-1)
		answer := Row(p.Name)
		if fails {
			answer = pgwire.ErrorResponse(pgwire.Error, "XX000", "the build is bad", "")
		}
		if _, err := c.Write(pgwire.Ready(answer)); err != nil {
			return
		}
	}
}

// work does a query, when a core is free, and says whether it fails.
func (p *Server) work(text string) (fails bool) {
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	if p.InProgress != nil {
		p.InProgress.Add(1)
		defer p.InProgress.Add(-1)
	}
	if p.Handle != nil {
		took, fails := p.Handle(text)
		time.Sleep(took)
		return fails
	}
	time.Sleep(p.ServiceTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt) >= p.FailAfter && p.rng.Float64() < p.FailureRate
}

// field gives the value behind a name in a statement's comment.
func field(text, name string) string {
	_, rest, ok := strings.Cut(text, "/* ")
	for ok {
		var one string
		if one, rest, ok = strings.Cut(rest, ","); strings.HasPrefix(one, name) {
			return strings.TrimSuffix(strings.TrimPrefix(one, name), " */")
		}
	}
	return "-"
}

// Row is an answer of one binary column.
func Row(value string) []byte {
	b := []byte{'T', 0, 0, 0, 0, 0, 1}
	b = append(append(b, "body"...), 0)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1)
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-1))
	b = append(b, 'D')
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)+10))
	b = append(b, 0, 1)
	b = binary.BigEndian.AppendUint32(b, uint32(len(value)))
	b = append(b, value...)
	b = append(b, 'C', 0, 0, 0, 13)
	return append(append(b, "SELECT 1"...), 0)
}

// Outcome is what a client got.
type Response struct {
	Value string // of the answer: the planner's name here
	Code  string // of an error
}

// Client is one connection to a relay.
type Client struct {
	net.Conn
	r *bufio.Reader
}

// Dial connects to a relay.
func Dial(address string) (*Client, error) {
	n, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{Conn: n, r: bufio.NewReader(n)}
	n.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := n.Write(pgwire.Startup("worker", "catalog")); err != nil {
		n.Close()
		return nil, err
	}
	if _, err := c.answer(); err != nil {
		n.Close()
		return nil, err
	}
	return c, nil
}

// answer reads up to ReadyForQuery.
func (c *Client) answer() (out Response, err error) {
	for {
		kind, body, err := ReadMessage(c.r, false)
		if err != nil {
			return out, err
		}
		switch kind {
		case 'D':
			if v, err := pgwire.ParseRow(body); err == nil {
				out.Value = string(v)
			}
		case 'E':
			_, out.Code, _, _ = pgwire.ParseError(body)
		case 'Z':
			return out, nil
		}
	}
}

// Ask sends a read of a category for a customer, and waits for its one answer.
func (c *Client) ReadObject(id uint64, category, customer string, wait time.Duration) (Response, error) {
	return c.Query(fmt.Sprintf("SELECT body FROM objects WHERE oid = '%016x' /* id=%016x,c=%s,t=%s,d=%d */", id, id, category, customer, wait.Milliseconds()), wait)
}

// Query sends a statement, and waits for its one answer.
func (c *Client) Query(text string, wait time.Duration) (Response, error) {
	c.SetDeadline(time.Now().Add(wait + 2*time.Second))
	if _, err := c.Write(pgwire.QueryMessage(text)); err != nil {
		return Response{}, err
	}
	return c.answer()
}
