package fakes

import (
	"bufio"
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

// Server is an endpoint that answers each query with a row that holds its name, or with an error. The exported fields are
// set before Serve is called and don't change afterwards.
type Server struct {
	Name        string
	Workers     int           // queries processed at a time, 1 if unset; further ones wait
	ServiceTime time.Duration // processing time of each query
	FailureRate float64       // probability that a query is answered with an error
	FailAfter   time.Duration // time after the first call of Serve from which FailureRate applies
	Seed        int64         // of the random numbers that decide which queries fail
	MaxInFlight int           // queries that may wait or be processed at a time; more are rejected; 0 means no limit

	// Handle, if not nil, replaces ServiceTime, FailureRate and FailAfter: it returns how long a statement takes and
	// whether it fails. It is called concurrently.
	Handle func(statement string) (serviceTime time.Duration, fails bool)

	InProgress *atomic.Int64 // if not nil: counts the queries being processed, also those of other servers that share it
	QueryLog   io.Writer     // if not nil: a line is written for each query: the word leg, Unix nanoseconds, request ID, tenant

	once      sync.Once
	workers   chan struct{} // holds a token for each query being processed
	startedAt time.Time
	inFlight  atomic.Int64

	mu     sync.Mutex // guards random and QueryLog
	random *rand.Rand
}

// Serve accepts connections until the listener is closed, and returns the listener's error. Each connection is served on a
// goroutine that ends with the connection.
func (s *Server) Serve(listener net.Listener) error {
	s.once.Do(func() {
		s.workers = make(chan struct{}, max(s.Workers, 1))
		s.startedAt = time.Now()
		s.random = rand.New(rand.NewSource(s.Seed))
	})
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // every response has been written, or writing failed
	reader := bufio.NewReader(conn)
	if _, _, err := ReadMessage(reader, true); err != nil {
		return
	}
	if _, err := conn.Write(pgwire.StartupResponse(1)); err != nil {
		return
	}
	for {
		kind, body, err := ReadMessage(reader, false)
		if err != nil || kind != 'Q' {
			return
		}
		statement := strings.TrimRight(string(body), "\x00")
		if _, err := conn.Write(s.respond(statement)); err != nil {
			return
		}
	}
}

// respond processes a statement, which takes its service time, and returns the response.
func (s *Server) respond(statement string) []byte {
	if statement == "" {
		return pgwire.EmptyQueryResponse()
	}
	s.logQuery(statement)
	defer s.inFlight.Add(-1)
	if inFlight := s.inFlight.Add(1); s.MaxInFlight > 0 && inFlight > int64(s.MaxInFlight) {
		return pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, pgwire.CodeTooManyConnections, "full", ""))
	}
	if s.process(statement) {
		return pgwire.AppendReadyForQuery(pgwire.ErrorResponse(pgwire.Error, "XX000", "the build is bad", ""))
	}
	return pgwire.AppendReadyForQuery(Row(s.Name))
}

func (s *Server) logQuery(statement string) {
	if s.QueryLog == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.QueryLog, "leg %d %s %s\n", time.Now().UnixNano(), commentField(statement, "id="), commentField(statement, "t="))
}

// process waits for a free worker, sleeps for the statement's service time, and reports whether the statement fails.
func (s *Server) process(statement string) (fails bool) {
	s.workers <- struct{}{}
	defer func() { <-s.workers }()
	if s.InProgress != nil {
		s.InProgress.Add(1)
		defer s.InProgress.Add(-1)
	}
	if s.Handle != nil {
		serviceTime, fails := s.Handle(statement)
		time.Sleep(serviceTime)
		return fails
	}
	time.Sleep(s.ServiceTime)
	return s.drawFailure()
}

func (s *Server) drawFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.startedAt) >= s.FailAfter && s.random.Float64() < s.FailureRate
}

// commentField returns the value of a field in a statement's comment, "-" if there is none. The name ends with an equals
// sign, such as "id=".
func commentField(statement, name string) string {
	_, rest, more := strings.Cut(statement, "/* ")
	for more {
		var field string
		field, rest, more = strings.Cut(rest, ",")
		if strings.HasPrefix(field, name) {
			return strings.TrimSuffix(strings.TrimPrefix(field, name), " */")
		}
	}
	return "-"
}
