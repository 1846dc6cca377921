//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// attempt is a request as a unit received it.
type attempt struct {
	at        time.Time // when the last byte was read
	unit      string
	build     int
	id        string
	class     string
	key       string // idempotency key
	object    string
	deadline  string
	statement string
	answer    string // what the unit answered
}

// unit is a server: it answers each request with a value of its own.
type unit struct {
	r        *rig
	name     string
	listener net.Listener

	mu       sync.Mutex
	build    int
	zone     string
	workTime time.Duration
	// handle, if set, gives the answer to a request: bytes to write, and whether the connection is closed behind them.
	handle func(a *attempt, conn net.Conn) (answer []byte, closes bool)
	// welcomeDelay holds the answer to a connection's startup back.
	welcomeDelay time.Duration
	attempts     []*attempt
}

func (r *rig) newUnit(name, zone string, build int, workTime time.Duration) (*unit, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &unit{r: r, name: name, listener: listener, build: build, zone: zone, workTime: workTime}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u, nil
}

func (u *unit) address() string { return u.listener.Addr().String() }

func (u *unit) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if _, _, err := readMessage(reader, true); err != nil {
		return
	}
	u.mu.Lock()
	wait := u.welcomeDelay
	u.mu.Unlock()
	time.Sleep(wait)
	if _, err := conn.Write(startupAnswer()); err != nil {
		return
	}
	for {
		kind, body, err := readMessage(reader, false)
		at := time.Now()
		if err != nil || kind != 'Q' {
			return
		}
		statement := strings.TrimRight(string(body), "\x00")
		answer, closes := u.answer(statement, at, conn)
		if answer != nil {
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
		if closes {
			return
		}
	}
}

func (u *unit) answer(statement string, at time.Time, conn net.Conn) (answer []byte, closes bool) {
	switch {
	case statement == "":
		return append([]byte{'I', 0, 0, 0, 4}, ready()...), false
	case statement == "SELECT 1":
		return append(row("1"), ready()...), false
	case strings.HasPrefix(statement, "SHOW"):
		return append(row("recent_ms=20,outstanding=1"), ready()...), false
	}
	u.mu.Lock()
	a := &attempt{at: at, unit: u.name, build: u.build, statement: statement, id: field(statement, "id"), class: field(statement, "c"),
		key: field(statement, "k"), deadline: field(statement, "d"), object: objectOf(statement)}
	u.attempts = append(u.attempts, a)
	handle, work := u.handle, u.workTime
	u.mu.Unlock()
	u.r.logAt(at, "attempt id=%s c=%s o=%s d=%s at %s build %d", a.id, a.class, a.object, a.deadline, u.name, a.build)
	if handle != nil {
		if answer, closes := handle(a, conn); answer != nil || closes {
			return answer, closes
		}
	}
	time.Sleep(work)
	return append(row(u.valueFor(a.id)), ready()...), false
}

func (u *unit) valueFor(id string) string { return "value of " + id + " by " + u.name }

// all returns the attempts so far.
func (u *unit) all() []*attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*attempt(nil), u.attempts...)
}

// field returns a field of the comment of a statement.
func field(statement, name string) string {
	_, comment, _ := strings.Cut(statement, "/* ")
	comment = strings.TrimSuffix(comment, " */")
	for _, part := range strings.Split(comment, ",") {
		if value, ok := strings.CutPrefix(part, name+"="); ok {
			return value
		}
	}
	return ""
}

// objectOf returns the oid of a statement.
func objectOf(statement string) string {
	parts := strings.Split(statement, "'")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}

var errLength = errors.New("length out of range")

// readMessage reads one message; a startup message has no kind.
func readMessage(r io.Reader, startup bool) (kind byte, body []byte, err error) {
	header := make([]byte, 5)
	if startup {
		header = header[:4]
	}
	if _, err := io.ReadFull(r, header); err != nil {
		return 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(header[len(header)-4:])) - 4
	if length < 0 || length > 1<<20 {
		return 0, nil, errLength
	}
	body = make([]byte, length)
	_, err = io.ReadFull(r, body)
	return header[0], body, err
}

func message(kind byte, body []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(b, body...)
}

func ready() []byte { return message('Z', []byte{'I'}) }

func startupAnswer() []byte {
	return append(message('R', []byte{0, 0, 0, 0}), ready()...)
}

// row returns RowDescription, DataRow and CommandComplete for one binary value.
func row(value string) []byte {
	description := append([]byte{0, 1}, "body\x00"...)
	description = append(description, 0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1)
	data := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	data = append(data, value...)
	b := append(message('T', description), message('D', data)...)
	return append(b, message('C', []byte("SELECT 1\x00"))...)
}

// errorAnswer returns an ErrorResponse and ReadyForQuery.
func errorAnswer(code, text string) []byte {
	body := "SERROR\x00VERROR\x00C" + code + "\x00M" + text + "\x00\x00"
	return append(message('E', []byte(body)), ready()...)
}
