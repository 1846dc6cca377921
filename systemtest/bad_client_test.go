package systemtest

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

// largeInputTimeout is the time within which a client that sends 60 MB gets its error or its connection is closed.
const largeInputTimeout = 6 * time.Second

// badInput is what a bad client sends on a connection of its own.
type badInput struct {
	noStartup bool   // the bytes come in place of a startup packet
	bytes     []byte // sent at once
	endless   []byte // sent again and again behind them until the connection ends
	within    time.Duration
}

// message returns a message with a length field of the test's choice.
func message(messageType byte, length uint32, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{messageType}, length), body...)
}

// changed returns the message of a sound request in which a part is replaced.
func changed(part, by string) []byte {
	statement := "SELECT body FROM objects WHERE oid = '7f3a' /* id=bad,c=look,t=acme,d=2000 */"
	return pgwire.QueryMessage(strings.Replace(statement, part, by, 1))
}

var sound = changed("", "")

// badInputs has an entry for each kind of bad client.
var badInputs = map[string]badInput{
	"noise":                            {bytes: []byte("\x00\xff\x17\xfe\x03\x9a\xc4\x00\x01\x7f\x7f\x7f\x7f\x7f")},
	"noise in place of a startup":      {noStartup: true, bytes: []byte("\xf7\xff\x17\xfe\x03\x9a\xc4\x00\x01\x7f")},
	"another protocol":                 {noStartup: true, bytes: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")},
	"line without end":                 {endless: []byte(strings.Repeat("select ", 1000))},
	"line without end, no startup":     {noStartup: true, endless: []byte(strings.Repeat("select ", 1000))},
	"query without end":                {bytes: message('Q', 1<<16, ""), endless: []byte(strings.Repeat("select ", 1000))},
	"statement without its zero byte":  {bytes: message('Q', 12, "SELECT 1")},
	"two zero bytes":                   {bytes: message('Q', 14, "SELECT 1\x00\x00")},
	"length of zero":                   {bytes: message('Q', 0, "")},
	"length of three":                  {bytes: message('Q', 3, "")},
	"negative length":                  {bytes: message('Q', 0xffffffff, "SELECT 1\x00")},
	"most negative length":             {bytes: message('Q', 0x80000000, "SELECT 1\x00")},
	"huge length":                      {bytes: message('Q', 0x7fffffff, "SELECT 1\x00")},
	"length that is too short":         {bytes: append(message('Q', uint32(len(sound)-11), ""), sound[5:]...)},
	"length that is too long":          {bytes: append(message('Q', uint32(len(sound)+9), ""), sound[5:]...)},
	"startup of negative length":       {noStartup: true, bytes: []byte("\xff\xff\xff\xff\x00\x03\x00\x00")},
	"startup of length zero":           {noStartup: true, bytes: []byte("\x00\x00\x00\x00\x00\x03\x00\x00")},
	"startup without values":           {noStartup: true, bytes: []byte("\x00\x00\x00\x0d\x00\x03\x00\x00user\x00")},
	"part of a startup":                {noStartup: true, bytes: pgwire.Startup("worker", "catalog")[:11]},
	"nothing":                          {noStartup: true},
	"value of 60 MB":                   {bytes: message('Q', 60<<20, "INSERT"), endless: make([]byte, 1<<20), within: largeInputTimeout},
	"value that is too long":           {bytes: pgwire.QueryMessage(writeRequest(classIdempotent, "bad", pgwire.MaxValue+1))},
	"unknown class":                    {bytes: changed("c=look", "c=none")},
	"unknown tenant":                   {bytes: changed("t=acme", "t=none")},
	"no class":                         {bytes: changed("c=look,", "")},
	"no id":                            {bytes: changed("id=bad,", "")},
	"empty id":                         {bytes: changed("id=bad", "id=")},
	"no deadline":                      {bytes: changed(",d=2000", "")},
	"deadline that is no number":       {bytes: changed("d=2000", "d=soon")},
	"deadline that is not finite":      {bytes: changed("d=2000", "d=NaN")},
	"deadline with a fraction":         {bytes: changed("d=2000", "d=2000.5")},
	"deadline with a sign":             {bytes: changed("d=2000", "d=+2000")},
	"negative deadline":                {bytes: changed("d=2000", "d=-2000")},
	"deadline beyond the integers":     {bytes: changed("d=2000", "d=99999999999999999999")},
	"work that is no number":           {bytes: changed("d=2000", "d=2000,h=much")},
	"id twice":                         {bytes: changed("id=bad", "id=bad,id=other")},
	"two comments":                     {bytes: changed(" */", " */ /* id=other,c=look,t=acme,d=2000 */")},
	"two statements":                   {bytes: changed(" */", " */; SELECT 1")},
	"quote in the object":              {bytes: changed("7f3a", "7f'; DROP")},
	"value that is not hexadecimal":    {bytes: pgwire.QueryMessage(strings.Replace(writeRequest(classIdempotent, "bad", 1), "9f", "9g", 1))},
	"keyed class without a key":        {bytes: pgwire.QueryMessage(strings.Replace(writeRequest(classKeyed, "bad", 1), ",k=bad", "", 1))},
	"very many short fields":           {bytes: changed("d=2000", "d=2000"+strings.Repeat(",a=1", 30000))},
	"message of the extended protocol": {bytes: message('P', 17, "\x00SELECT 1\x00\x00\x00")},
	"half a command":                   {bytes: sound[:len(sound)/2]},
	"half a large command":             {bytes: largeRequest("bad")[:1<<16]},
	"half a header":                    {bytes: sound[:3]},
}

// TestBadClientsGetAnErrorOrAClose guards against bad clients that are served, that wait without end, or that take the service
// of usual clients.
func TestBadClientsGetAnErrorOrAClose(t *testing.T) {
	unit := startEndpoint(t, 0)
	relay := startRelay(t, relayOptions{}, unit)
	usual := startUsualClients(relay)
	t.Run("inputs", func(t *testing.T) {
		for name, input := range badInputs {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				playBadClient(t, relay, input)
			})
		}
	})
	if runs := unit.runsOf("bad") + unit.runsOf("other") + unit.runsOf(""); runs != 0 {
		t.Errorf("%d requests of bad clients were sent to an endpoint", runs)
	}
	usual.stop().check(t)
}

// playBadClient sends the input and checks the answer.
func playBadClient(t *testing.T, relay *relayProcess, input badInput) {
	connection, err := net.Dial("tcp", relay.address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	within := defaultTo(input.within, badClientTimeout)
	_ = connection.SetReadDeadline(time.Now().Add(within))
	startup := pgwire.Startup("worker", "catalog")
	if input.noStartup {
		startup = nil
	}
	go func() {
		_, err := connection.Write(append(startup[:len(startup):len(startup)], input.bytes...))
		for err == nil && input.endless != nil {
			_, err = connection.Write(input.endless)
		}
	}()
	code, err := readError(connection, input.noStartup)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		t.Errorf("neither an error nor a close within %v", within)
	case err != nil && !errors.Is(err, errClosed):
		t.Error(err)
	}
	if isRefusal(code) {
		t.Errorf("code %s says that trying again is useful", code)
	}
}

// Errors of readError for a row, and for the end of the connection before an error.
var (
	errServed = errors.New("the request was served")
	errClosed = errors.New("the connection was closed")
)

// readError reads messages up to the first error, and returns its code.
func readError(connection net.Conn, noStartup bool) (code string, err error) {
	reader := bufio.NewReader(connection)
	for {
		kind, body, err := fakes.ReadMessage(reader, false)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return "", err
		case err != nil:
			return "", errClosed
		case kind == pgwire.TypeErrorResponse:
			_, code, _, err = pgwire.ParseError(body)
			return code, err
		case kind == pgwire.TypeDataRow, noStartup && kind == pgwire.TypeReadyForQuery:
			return "", errServed
		}
	}
}

// TestHundredsOfCommandsAtOnceGetTheirErrorInTime guards against a client that waits for its error until each of its commands has
// been answered by a slow endpoint.
func TestHundredsOfCommandsAtOnceGetTheirErrorInTime(t *testing.T) {
	const (
		commands    = 300
		serviceTime = 450 * time.Millisecond
	)
	unit := startEndpoint(t, serviceTime)
	relay := startRelay(t, relayOptions{}, unit)
	session := relay.dial()
	var statements []string
	for i := range commands {
		statements = append(statements, request(classAtMostOnce, fmt.Sprint("command-", i)))
	}
	begin := time.Now()
	session.send(statements...)
	served := 0
	for {
		response := session.receive(badClientTimeout)
		if response.Value != "" {
			served++
			continue
		}
		if isRefusal(response.Code) {
			continue
		}
		if response.Code != pgwire.CodeTooLong {
			t.Errorf("got %+v, want an error for too many commands", response)
		}
		break
	}
	if took := time.Since(begin); took > badClientTimeout {
		t.Errorf("%d commands were served before the error, which came after %v", served, took)
	}
	unit.mu.Lock()
	defer unit.mu.Unlock()
	if len(unit.runs) != served {
		t.Errorf("%d commands ran, %d were answered as served", len(unit.runs), served)
	}
}

// TestHundredsOfSilentConnections guards against connections that say nothing and keep usual clients out.
func TestHundredsOfSilentConnections(t *testing.T) {
	const (
		connections = 400
		duration    = 4 * time.Second
	)
	unit := startEndpoint(t, 0)
	relay := startRelay(t, relayOptions{sockets: 256}, unit)
	usual := startUsualClients(relay)
	var silent sync.WaitGroup
	end := time.Now().Add(duration)
	for range connections {
		silent.Go(func() {
			for time.Now().Before(end) {
				connection, err := net.Dial("tcp", relay.address)
				if err != nil {
					t.Error(err)
					return
				}
				_ = connection.SetReadDeadline(time.Now().Add(badClientTimeout))
				if _, err := io.Copy(io.Discard, connection); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("a silent connection was not closed within %v", badClientTimeout)
				}
				_ = connection.Close()
			}
		})
	}
	silent.Wait()
	usual.stop().check(t)
}
