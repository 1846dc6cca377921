package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lichenroad/internal/pgwire"
)

const testDeadline = 5 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func dial(t *testing.T, address string) *Client {
	t.Helper()
	client, err := Dial(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client
}

// TestServer checks the response that a client gets from servers with different settings.
func TestServer(t *testing.T) {
	for name, c := range map[string]struct {
		server *Server
		want   Response
	}{
		"succeeds":           {&Server{Name: "u1"}, Response{Value: "u1"}},
		"fails at its rate":  {&Server{Name: "u1", FailureRate: 1}, Response{Code: "XX000", Text: "the build is bad"}},
		"does not fail yet":  {&Server{Name: "u1", FailureRate: 1, FailAfter: time.Hour}, Response{Value: "u1"}},
		"fails by Handle":    {&Server{Handle: func(string) (time.Duration, bool) { return 0, true }}, Response{Code: "XX000", Text: "the build is bad"}},
		"succeeds by Handle": {&Server{Name: "u2", Handle: func(string) (time.Duration, bool) { return 0, false }}, Response{Value: "u2"}},
	} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			go c.server.Serve(listener)
			got, err := dial(t, listener.Addr().String()).ReadObject(1, "look", "t1", testDeadline)
			if err != nil || got != c.want {
				t.Errorf("got response %+v and error %v, want %+v", got, err, c.want)
			}
		})
	}
}

// TestServerRejectsBeyondItsLimit sends a second query while the first is processed, to a server that takes one at a time.
func TestServerRejectsBeyondItsLimit(t *testing.T) {
	processing, finish := make(chan struct{}), make(chan struct{})
	server := &Server{Name: "u1", MaxInFlight: 1, Handle: func(string) (time.Duration, bool) {
		close(processing)
		<-finish
		return 0, false
	}}
	listener := listen(t)
	go server.Serve(listener)
	first, second := dial(t, listener.Addr().String()), dial(t, listener.Addr().String())
	responses := make(chan Response)
	go func() {
		response, _ := first.Query("SELECT 1", testDeadline)
		responses <- response
	}()
	<-processing
	if got, err := second.Query("SELECT 1", testDeadline); err != nil || got.Code != pgwire.CodeTooManyConnections {
		t.Errorf("second query: got response %+v and error %v, want code %s", got, err, pgwire.CodeTooManyConnections)
	}
	close(finish)
	if got := <-responses; got.Value != "u1" {
		t.Errorf("first query: got response %+v, want the value u1", got)
	}
}

// TestQueryLog checks the format of the line that is logged for a query, which the demonstration parses.
func TestQueryLog(t *testing.T) {
	var log bytes.Buffer
	server := &Server{QueryLog: &log}
	server.logQuery("SELECT body FROM objects WHERE oid = '1' /* id=000000000000000a,c=look,t=t1,d=5 */")
	server.logQuery("SELECT 1")
	lines := strings.Split(log.String(), "\n")
	for i, want := range []string{"000000000000000a t1", "- -"} {
		words := strings.SplitN(lines[i], " ", 3)
		if len(words) != 3 || words[0] != "leg" || words[2] != want {
			t.Errorf("line %q, want leg, a time and %q", lines[i], want)
		}
	}
}

func TestReadMessage(t *testing.T) {
	for name, c := range map[string]struct {
		input   string
		startup bool
		kind    byte
		body    string
		err     error
	}{
		"message":                {"Q\x00\x00\x00\x06ab", false, 'Q', "ab", nil},
		"empty message":          {"S\x00\x00\x00\x04", false, 'S', "", nil},
		"startup message":        {"\x00\x00\x00\x06ab", true, 0, "ab", nil},
		"length below 4":         {"Q\x00\x00\x00\x03", false, 0, "", ErrMessageLength},
		"length above the limit": {"Q\x7f\x00\x00\x00", false, 0, "", ErrMessageLength},
		"truncated body":         {"Q\x00\x00\x00\x06a", false, 'Q', "a\x00", io.ErrUnexpectedEOF},
		"end of input":           {"", false, 0, "", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			kind, body, err := ReadMessage(strings.NewReader(c.input), c.startup)
			if kind != c.kind || string(body) != c.body || !errors.Is(err, c.err) {
				t.Errorf("got kind %q, body %q and error %v, want %q, %q and %v", kind, body, err, c.kind, c.body, c.err)
			}
		})
	}
}

// TestDiscovery checks what polls and watches return before and after the list changes.
func TestDiscovery(t *testing.T) {
	d, err := NewDiscovery()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	get := func(ctx context.Context, query string) (string, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Addr()+"/api/targets"+query, nil)
		if err != nil {
			return "", err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()

	const empty = `{"generation":1,"instances":null,"reset":true}`
	for name, query := range map[string]string{
		"poll":                         "",
		"watch that times out":         "?after=1&wait_ms=1",
		"watch of an older generation": "?after=0&wait_ms=60000",
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := get(ctx, query); err != nil || got != empty {
				t.Errorf("got list %s and error %v, want %s", got, err, empty)
			}
		})
	}

	t.Run("watch answered when the list changes", func(t *testing.T) {
		lists := make(chan string)
		go func() {
			list, err := get(ctx, "?after=1&wait_ms=60000")
			if err != nil {
				list = err.Error()
			}
			lists <- list
		}()
		d.Set([]Endpoint{{ID: "u1", HostPort: "127.0.0.1:1", Build: 7}})
		var got endpointList
		if list := <-lists; json.Unmarshal([]byte(list), &got) != nil || got.Generation != 2 || len(got.Instances) != 1 || got.Instances[0].ID != "u1" {
			t.Errorf("got list %s, want generation 2 with the endpoint u1 alone", list)
		}
	})

	t.Run("watch whose client disconnects", func(t *testing.T) {
		canceled, cancelWatch := context.WithCancel(ctx)
		cancelWatch()
		if err := d.waitNewer(canceled, 1000, time.Hour); !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want %v", err, context.Canceled)
		}
	})
}

// TestProcessThatEnds runs a program that ends by itself. Its lines of output must be passed on, and WaitListening must fail
// at once instead of waiting for its timeout.
func TestProcessThatEnds(t *testing.T) {
	var lines []string
	p, err := StartProcess("/bin/sh", t.TempDir(), func(line string) { lines = append(lines, line) }, "-c", "echo one; echo two")
	if err != nil {
		t.Fatal(err)
	}
	<-p.Done
	if got := strings.Join(lines, " "); got != "one two" {
		t.Errorf("lines of output %q, want %q", got, "one two")
	}
	ports, err := FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := WaitListening(ports[0], p); !errors.Is(err, ErrProcessEnded) {
		t.Errorf("got error %v, want %v", err, ErrProcessEnded)
	}
}
