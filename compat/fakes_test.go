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

// observationLog holds what an emulated server has received, without duplicates. mu guards lines.
type observationLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *observationLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.lines, line) {
		l.lines = append(l.lines, line)
	}
}

func (l *observationLog) contains(substring string) bool {
	return slices.ContainsFunc(l.all(), func(line string) bool { return strings.Contains(line, substring) })
}

func (l *observationLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

// listenAndServe accepts connections on a free port until the test ends, and serves each on its own goroutine.
func listenAndServe(t *testing.T, serve func(net.Conn)) (address string) {
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

// message encodes a message of the PostgreSQL protocol: a type byte, a length that includes the length field, and the body.
func message(typeByte byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{typeByte}, uint32(len(body)+4))) + body
}

// startupMessage encodes the startup packet of protocol version 3.
func startupMessage() string {
	body := "\x00\x03\x00\x00" + startupParameters
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

func queryMessage(text string) string { return message('Q', text+"\x00") }

// readMessage reads one complete message. A startup packet, the first message of a connection, has no type byte.
func readMessage(r *bufio.Reader, startup bool) (raw string, err error) {
	header := make([]byte, 5)
	if startup {
		header = header[:4]
	}
	if _, err := io.ReadFull(r, header); err != nil {
		return "", err
	}
	size := binary.BigEndian.Uint32(header[len(header)-4:])
	if size < 4 || size > 1<<20 {
		return "", fmt.Errorf("invalid message length %d", size)
	}
	body := make([]byte, size-4)
	_, err = io.ReadFull(r, body)
	return string(header) + string(body), err
}

const readyForQuery = "Z\x00\x00\x00\x05I"

var rowResponse = message('T', "\x00\x01body\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01") +
	message('D', "\x00\x01\x00\x00\x00\x05value") + message('C', "SELECT 1\x00")

var deadlineField = regexp.MustCompile(`,d=[0-9]+`)

// startEndpoint starts an emulated endpoint whose response depends on the requested object. The relay's remaining time in a
// query (d=) differs between runs, so it is masked, and the length of the message is left out. Empty queries, which come some
// time after a response, are recorded in a log of their own.
func startEndpoint(t *testing.T) (address string, seen, empty *observationLog) {
	t.Helper()
	seen, empty = &observationLog{}, &observationLog{}
	return listenAndServe(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		startupPacket, err := readMessage(r, true)
		if err != nil {
			return
		}
		seen.add(fmt.Sprintf("startup %q", startupPacket))
		io.WriteString(c, message('R', "\x00\x00\x00\x00")+readyForQuery)
		for {
			raw, err := readMessage(r, false)
			if err != nil {
				return
			}
			if raw == queryMessage("") {
				empty.add("empty query")
				io.WriteString(c, message('I', "")+readyForQuery)
				continue
			}
			seen.add(fmt.Sprintf("%q %q", raw[0], deadlineField.ReplaceAllString(raw[5:], ",d=MS")))
			switch {
			case strings.Contains(raw, "'fails'"):
				io.WriteString(c, message('E', "SERROR\x00CXX000\x00Mbroken\x00\x00")+readyForQuery)
			case strings.Contains(raw, "'full'"):
				io.WriteString(c, message('E', "SERROR\x00C53300\x00Mfull\x00\x00")+readyForQuery)
			default:
				io.WriteString(c, rowResponse+readyForQuery)
			}
		}
	}), seen, empty
}

var (
	hostHeader = regexp.MustCompile(`Host: [0-9.:]+`)
	watchWait  = regexp.MustCompile(`wait_ms=[1-9][0-9]*`)
)

// discoveryServer emulates the discovery service. It returns one endpoint list, and answers a watch when that list is
// replaced. mu guards generation, list and changed.
type discoveryServer struct {
	mu         sync.Mutex
	generation int
	list       string
	changed    chan struct{}
	seen       observationLog
	address    string
}

func startDiscovery(t *testing.T, list string) *discoveryServer {
	t.Helper()
	d := &discoveryServer{generation: 1, list: list, changed: make(chan struct{})}
	d.address = listenAndServe(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			var header strings.Builder
			for !strings.HasSuffix(header.String(), "\r\n\r\n") {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				header.WriteString(line)
			}
			// The port differs between runs, and the maximum wait of a watch is random.
			masked := hostHeader.ReplaceAllString(watchWait.ReplaceAllString(header.String(), "wait_ms=DRAWN"), "Host: ADDRESS")
			d.seen.add(fmt.Sprintf("%q", masked))
			d.mu.Lock()
			changed, upToDate := d.changed, strings.Contains(header.String(), fmt.Sprintf("after=%d&", d.generation))
			d.mu.Unlock()
			if upToDate && !strings.Contains(header.String(), "wait_ms=0 ") {
				<-changed
			}
			d.mu.Lock()
			list := d.list
			d.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
	})
	t.Cleanup(func() { d.replace(0, "{}") }) // unblocks a pending watch
	return d
}

// replace replaces the list and answers the pending watches.
func (d *discoveryServer) replace(generation int, list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation, d.list = generation, list
	close(d.changed)
	d.changed = make(chan struct{})
}

// startPlatform starts an emulated rollout platform that sends each watcher one rollout status, and accepts every vote.
func startPlatform(t *testing.T) (address string, seen *observationLog) {
	t.Helper()
	seen = &observationLog{}
	return listenAndServe(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			seen.add(fmt.Sprintf("%q", line))
			if line == "WATCH\r\n" {
				io.WriteString(c, "OK\r\n* news 2 0 canary 1 0\r\n")
			} else {
				io.WriteString(c, "OK 2 0 canary 1 100\r\n")
			}
		}
	}), seen
}
