//go:build review

package rig

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// Action says what a unit does with a query.
type Action struct {
	After time.Duration // how long the query runs
	Hang  bool          // no answer ever comes; the connection stays open
	Code  string        // an error of this code in place of the row
}

// Unit is a stand-in for a unit. It welcomes any user and answers each query with a row that holds the unit's name and the
// id of the query, as PROTOCOL.md says.
type Unit struct {
	Name    string
	Record  *Record
	Act     func(statement string) Action // nil: a row at once
	Welcome func() time.Duration          // how long a new connection takes to come up; nil: none

	Ran      atomic.Int64 // queries whose last byte has come
	listener net.Listener
}

// Start listens on a free loopback port and serves until the process ends.
func (u *Unit) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return nil
}

// Addr returns the address that the unit listens on.
func (u *Unit) Addr() string { return u.listener.Addr().String() }

// Entry returns the unit's entry in discovery's list.
func (u *Unit) Entry(zone string, build int) fakes.Endpoint {
	return fakes.Endpoint{ID: u.Name, HostPort: u.Addr(), Zone: zone, MachineType: "m2", Lifecycle: "SERVING", Weight: 1, Build: build}
}

func (u *Unit) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if u.Welcome != nil {
		time.Sleep(u.Welcome())
	}
	reader := bufio.NewReader(conn)
	if _, _, err := fakes.ReadMessage(reader, true); err != nil {
		return
	}
	if _, err := conn.Write(pgwire.StartupResponse(1)); err != nil {
		return
	}
	for {
		kind, body, err := fakes.ReadMessage(reader, false)
		if err != nil || kind != 'Q' {
			return
		}
		statement := strings.TrimRight(string(body), "\x00")
		if pgwire.IsEmpty([]byte(statement)) {
			if _, err := conn.Write(pgwire.EmptyQueryResponse()); err != nil {
				return
			}
			continue
		}
		u.Ran.Add(1)
		if !u.answer(conn, reader, statement) {
			return
		}
	}
}

// answer runs a query and answers it. It returns false if the connection has ended.
func (u *Unit) answer(conn net.Conn, reader *bufio.Reader, statement string) bool {
	id := Field(statement, "id")
	var action Action
	if u.Act != nil {
		action = u.Act(statement)
	}
	u.Record.Printf("unit %s runs id=%s d=%s", u.Name, id, Field(statement, "d"))
	if action.Hang {
		_, err := reader.Peek(1) // the relay gives the attempt up by ending the connection
		u.Record.Printf("unit %s: the relay has given up id=%s (%v)", u.Name, id, err)
		return false
	}
	time.Sleep(action.After)
	response := fakes.Row(u.Name + " " + id)
	if action.Code != "" {
		response = pgwire.ErrorResponse(pgwire.Error, action.Code, "by the test", "")
	}
	_, err := conn.Write(pgwire.AppendReadyForQuery(response))
	u.Record.Printf("unit %s answered id=%s %s", u.Name, id, action.Code)
	return err == nil
}

// Field returns a parameter of a statement's comment, "-" if there is none.
func Field(statement, name string) string {
	_, comment, _ := strings.Cut(statement, "/* ")
	for _, pair := range strings.Split(strings.TrimSuffix(comment, " */"), ",") {
		if key, value, ok := strings.Cut(pair, "="); ok && key == name {
			return value
		}
	}
	return "-"
}

// Read returns the statement that reads an object.
func Read(id, object uint64, class string, deadline time.Duration) string {
	return fmt.Sprintf("SELECT body FROM objects WHERE oid = '%016x' /* id=%016x,c=%s,d=%d */", object, id, class,
		deadline.Milliseconds())
}
