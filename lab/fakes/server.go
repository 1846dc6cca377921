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

// Server answers queries with its name. Its exported fields are set before Serve and not changed then.
type Server struct {
	Name        string
	Workers     int           // queries processed at a time; more wait
	ServiceTime time.Duration // for each query
	FailureRate float64       // fraction of the queries that are answered with an error, from 0 to 1
	FailAfter   time.Duration // from the start of Serve until queries fail
	Seed        int64         // of the draws by FailureRate
	MaxInFlight int           // queries waiting or processed beyond which more are rejected; 0 means no limit

	// Handle, where it is set, replaces ServiceTime and FailureRate: it gives both for one statement. Any goroutine
	// calls it.
	Handle func(statement string) (serviceTime time.Duration, fails bool)

	InProgress *atomic.Int64 // where it is set: the queries being processed
	QueryLog   io.Writer     // where it is set: gets a line for each query: leg, Unix nanoseconds, id, tenant

	once      sync.Once
	workers   chan struct{} // holds a token for each query being processed
	startedAt time.Time
	inFlight  atomic.Int64

	mu     sync.Mutex // guards random and QueryLog
	random *rand.Rand
}

// Serve accepts connections until the listener is closed, and returns the listener's error. It starts a goroutine for
// each connection, which ends with the connection.
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
	defer func() { _ = conn.Close() }() // nothing is left to be sent
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

// respond gives the response to a statement, after its service time.
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

// process takes the service time of a query once a worker is free, and says whether the query fails.
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

// commentField gives the value behind a name in a statement's comment, such as "id="; "-" where there is none.
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
