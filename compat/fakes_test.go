package compat_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
)

// observationLog is what an emulated server has seen, each observation once. mu guards lines.
type observationLog struct {
	mu    sync.Mutex
	lines []string
}

func (s *observationLog) add(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.lines, line) {
		s.lines = append(s.lines, line)
	}
}

func (s *observationLog) has(part string) bool {
	return slices.ContainsFunc(s.all(), func(line string) bool { return strings.Contains(line, part) })
}

func (s *observationLog) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.lines)
}

// serveAt accepts connections on a free address until the test ends, and serves each on a goroutine of its own.
func serveAt(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(c) }()
		}
	}()
	return ln.Addr().String()
}

// message is a message of PostgreSQL's protocol: its kind, its length with the length field, its body.
func message(kind byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))) + body
}

// startup is the startup packet of protocol version 3.
func startup() string {
	body := "\x00\x03\x00\x00" + startupParameters
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

func query(text string) string { return message('Q', text+"\x00") }

// readMessage reads one complete message; the first of a connection, a startup packet, has no kind.
func readMessage(r *bufio.Reader, first bool) (raw string, err error) {
	head := make([]byte, 5)
	if first {
		head = head[:4]
	}
	if _, err := io.ReadFull(r, head); err != nil {
		return "", err
	}
	size := binary.BigEndian.Uint32(head[len(head)-4:])
	if size < 4 || size > 1<<20 {
		return "", fmt.Errorf("a message of %d bytes", size)
	}
	body := make([]byte, size-4)
	_, err = io.ReadFull(r, body)
	return string(head) + string(body), err
}

const endpointReady = "Z\x00\x00\x00\x05I"

var endpointRow = message('T', "\x00\x01body\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01") +
	message('D', "\x00\x01\x00\x00\x00\x05value") + message('C', "SELECT 1\x00")

var deadlineField = regexp.MustCompile(`,d=[0-9]+`)

// startEndpoint starts an endpoint whose response depends on the requested object. How long the relay waits (d=) depends on the
// time that has passed, so it is masked, with the length of its message.
func startEndpoint(t *testing.T) (address string, s *observationLog) {
	t.Helper()
	s = &observationLog{}
	return serveAt(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		first, err := readMessage(r, true)
		if err != nil {
			return
		}
		s.add(fmt.Sprintf("startup %q", first))
		io.WriteString(c, message('R', "\x00\x00\x00\x00")+endpointReady)
		for {
			raw, err := readMessage(r, false)
			if err != nil {
				return
			}
			s.add(fmt.Sprintf("%q %q", raw[0], deadlineField.ReplaceAllString(raw[5:], ",d=MS")))
			switch {
			case strings.Contains(raw, "'fails'"):
				io.WriteString(c, message('E', "SERROR\x00CXX000\x00Mbroken\x00\x00")+endpointReady)
			case strings.Contains(raw, "'full'"):
				io.WriteString(c, message('E', "SERROR\x00C53300\x00Mfull\x00\x00")+endpointReady)
			default:
				io.WriteString(c, endpointRow+endpointReady)
			}
		}
	}), s
}

var (
	hostHeader = regexp.MustCompile(`Host: [0-9.:]+`)
	watchWait  = regexp.MustCompile(`wait_ms=[1-9][0-9]*`)
)

// discovery emulates the discovery service. It returns one list, and answers a watch when that list is replaced. mu guards
// generation, list and changed.
type discovery struct {
	mu         sync.Mutex
	generation int
	list       string
	changed    chan struct{}
	seen       observationLog
	address    string
}

func startDiscovery(t *testing.T, list string) *discovery {
	t.Helper()
	d := &discovery{generation: 1, list: list, changed: make(chan struct{})}
	d.address = serveAt(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			var head strings.Builder
			for !strings.HasSuffix(head.String(), "\r\n\r\n") {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				head.WriteString(line)
			}
			// The port differs in each run, and a watch's longest wait is drawn at random.
			masked := hostHeader.ReplaceAllString(watchWait.ReplaceAllString(head.String(), "wait_ms=DRAWN"), "Host: ADDRESS")
			d.seen.add(fmt.Sprintf("%q", masked))
			d.mu.Lock()
			changed, same := d.changed, strings.Contains(head.String(), fmt.Sprintf("after=%d&", d.generation))
			d.mu.Unlock()
			if same && !strings.Contains(head.String(), "wait_ms=0 ") {
				<-changed
			}
			d.mu.Lock()
			list := d.list
			d.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
	})
	t.Cleanup(func() { d.replace(0, "{}") }) // ends a watch that waits
	return d
}

// replace replaces the list and answers the watches.
func (d *discovery) replace(generation int, list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation, d.list = generation, list
	close(d.changed)
	d.changed = make(chan struct{})
}

// startPlatform starts a rollout platform that sends each watcher one status, and accepts every vote.
func startPlatform(t *testing.T) (address string, s *observationLog) {
	t.Helper()
	s = &observationLog{}
	return serveAt(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			s.add(fmt.Sprintf("%q", line))
			if line == "WATCH\r\n" {
				io.WriteString(c, "OK\r\n* news 2 0 canary 1 0\r\n")
			} else {
				io.WriteString(c, "OK 2 0 canary 1 100\r\n")
			}
		}
	}), s
}
