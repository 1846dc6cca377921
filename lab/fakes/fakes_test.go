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

// TestServer has a client get the response that each kind of server gives.
func TestServer(t *testing.T) {
	for name, c := range map[string]struct {
		server *Server
		want   Response
	}{
		"succeeds":               {&Server{Name: "u1"}, Response{Value: "u1"}},
		"fails at its rate":      {&Server{Name: "u1", FailureRate: 1}, Response{Code: "XX000"}},
		"does not fail yet":      {&Server{Name: "u1", FailureRate: 1, FailAfter: time.Hour}, Response{Value: "u1"}},
		"fails by its function":  {&Server{Handle: func(string) (time.Duration, bool) { return 0, true }}, Response{Code: "XX000"}},
		"succeeds by a function": {&Server{Name: "u2", Handle: func(string) (time.Duration, bool) { return 0, false }}, Response{Value: "u2"}},
	} {
		t.Run(name, func(t *testing.T) {
			listener := listen(t)
			go c.server.Serve(listener)
			got, err := dial(t, listener.Addr().String()).ReadObject(1, "look", "t1", testDeadline)
			if err != nil || got != c.want {
				t.Errorf("%+v, %v instead of %+v", got, err, c.want)
			}
		})
	}
}

// TestServerRejectsBeyondItsLimit has a second query come while the first is processed.
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
		t.Errorf("the second query: %+v, %v", got, err)
	}
	close(finish)
	if got := <-responses; got.Value != "u1" {
		t.Errorf("the first query: %+v", got)
	}
}

// TestQueryLog holds the line of a query to its form, which programs read.
func TestQueryLog(t *testing.T) {
	var log bytes.Buffer
	server := &Server{QueryLog: &log}
	server.logQuery("SELECT body FROM objects WHERE oid = '1' /* id=000000000000000a,c=look,t=t1,d=5 */")
	server.logQuery("SELECT 1")
	lines := strings.Split(log.String(), "\n")
	for i, want := range []string{"000000000000000a t1", "- -"} {
		words := strings.SplitN(lines[i], " ", 3)
		if len(words) != 3 || words[0] != "leg" || words[2] != want {
			t.Errorf("%q instead of leg, a time and %q", lines[i], want)
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
		"a message":         {"Q\x00\x00\x00\x06ab", false, 'Q', "ab", nil},
		"an empty one":      {"S\x00\x00\x00\x04", false, 'S', "", nil},
		"a startup":         {"\x00\x00\x00\x06ab", true, 0, "ab", nil},
		"a length below 4":  {"Q\x00\x00\x00\x03", false, 0, "", ErrMessageLength},
		"a length too long": {"Q\x7f\x00\x00\x00", false, 0, "", ErrMessageLength},
		"a cut body":        {"Q\x00\x00\x00\x06a", false, 'Q', "a\x00", io.ErrUnexpectedEOF},
		"nothing":           {"", false, 0, "", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			kind, body, err := ReadMessage(strings.NewReader(c.input), c.startup)
			if kind != c.kind || string(body) != c.body || !errors.Is(err, c.err) {
				t.Errorf("%q %q %v", kind, body, err)
			}
		})
	}
}

// TestDiscovery polls a list and watches it change.
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
		"a poll":                      "",
		"a watch whose time is over":  "?after=1&wait_ms=1",
		"a watch of an earlier state": "?after=0&wait_ms=60000",
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := get(ctx, query); err != nil || got != empty {
				t.Errorf("%s, %v instead of %s", got, err, empty)
			}
		})
	}

	t.Run("a watch that waits for a change", func(t *testing.T) {
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
			t.Errorf("%s", list)
		}
	})

	t.Run("a watch that is given up", func(t *testing.T) {
		gone, leave := context.WithCancel(ctx)
		leave()
		if err := d.waitNewer(gone, 1000, time.Hour); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// TestProcessThatEnds runs a program that ends by itself: its lines are passed on, and nobody waits for it to listen.
func TestProcessThatEnds(t *testing.T) {
	var lines []string
	p, err := StartProcess("/bin/sh", t.TempDir(), func(line string) { lines = append(lines, line) }, "-c", "echo one; echo two")
	if err != nil {
		t.Fatal(err)
	}
	<-p.Done
	if got := strings.Join(lines, " "); got != "one two" {
		t.Errorf("%q", got)
	}
	ports, err := FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := WaitListening(ports[0], p); !errors.Is(err, ErrProcessEnded) {
		t.Error(err)
	}
}

// TestFreePortsAreNotTakenByOthers: a process that was given a port binds it later, and meanwhile sockets come and go whose
// ports the kernel chooses.
func TestFreePortsAreNotTakenByOthers(t *testing.T) {
	const calls, portsPerCall = 200, 10
	given := map[string]bool{}
	for range calls {
		addresses, err := FreePorts(portsPerCall)
		if err != nil || len(addresses) != portsPerCall {
			t.Fatal(addresses, err)
		}
		for _, address := range addresses {
			if given[address] {
				t.Fatalf("%s is given twice", address)
			}
			given[address] = true
		}
	}
	for range calls * portsPerCall {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if address := listener.Addr().String(); given[address] {
			t.Errorf("the kernel chose %s, which was given to a process", address)
		}
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
