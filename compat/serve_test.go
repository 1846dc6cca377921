package compat_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

const serveSettings = `{"areas":["a"],"kinds":["m1"],"az":0,"my_number":0,"replicas_of_me":2,"discovery":"subscribe",
 "grades":[{"name":"look","repeat":"retryable","target":400000000,"deadline":2000000000,"worth":1},
  {"name":"order","repeat":"dedup","group":"all","repeat_window":2000000000,"target":400000000,"deadline":2000000000,"worth":1},
  {"name":"pay","repeat":"fragile","target":400000000,"deadline":2000000000,"worth":1}],
 "tenants":[{"name":"acme","share":1,"quota_per_s":1000}],
 "policy_limits":{"cancel":true,"conn_idle":30000000000,"dial_timeout":2000000000,"max_attempts":3,"retry_after":true,
  "max_retry_after":1000000000,"may_tell":true},
 "report":{"via":"off"},"rules":{"drain_grace":250000000,"ask_every":10000000000},
 "family_info":{"call_timeout":300000000,"exposure_caps":[1],"waves":[1],"uncounted":1,"span":2000000000,
  "decided_by":"first_voice","to_advance":1,"to_abort":1,"ballot_ttl":10000000000,"votes_per_s":100,"min_dwell":0}}`

// listJSON returns a response of discovery: endpoints with the given names, all at one address.
func listJSON(generation int, endpoint string, names ...string) string {
	var entries []string
	for _, name := range names {
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m1","cell":1,"lifecycle":"SERVING","weight":1,"startedAtMs":0,"build":1}`, name, endpoint))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
}

// emulatedPeer emulates the other relay of the fleet. It records the type and fields of membership datagrams, without times.
type emulatedPeer struct {
	conn        *net.UDPConn
	seen        observationLog
	mu          sync.Mutex
	listVersion []byte // generation and digest of the endpoint list, from the first membership datagram
}

func startPeer(t *testing.T) *emulatedPeer {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	p := &emulatedPeer{conn: conn}
	go func() {
		for b := make([]byte, 1024); ; {
			n, err := conn.Read(b)
			if err != nil {
				return
			}
			p.observe(b[:n])
		}
	}()
	return p
}

// observe records a membership datagram without its two times, which are uvarints of Unix milliseconds: when discovery last
// responded, and when a call to it last failed; 0 means never. Any other time must be within the running test.
func (p *emulatedPeer) observe(b []byte) {
	if !isMessageType(b, heartbeatType) && !isMessageType(b, deltaType) {
		return // reports and decisions, whose content depends on response times
	}
	_, n := binary.Uvarint(b[2:])
	if n <= 0 || len(b) < 2+n+8 {
		p.seen.add(fmt.Sprintf("cut short: %x", b))
		return
	}
	version, rest := b[2:2+n+8], b[2+n+8:]
	line := fmt.Sprintf("form %d, view %x", b[1], version)
	for range 2 {
		at, n := binary.Uvarint(rest)
		if age := time.Since(time.UnixMilli(int64(at))); n <= 0 || at != 0 && (age < -time.Second || age > 2*testTimeout) {
			line += fmt.Sprintf(", %d is no time of this test", at)
		}
		rest = rest[max(n, 0):]
	}
	p.seen.add(line + fmt.Sprintf(", then %x", rest))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listVersion == nil {
		p.listVersion = append([]byte(nil), version...)
	}
}

// client is a client's connection to the relay.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dialRelay(t *testing.T, address, firstBytes string) *client {
	t.Helper()
	var conn net.Conn
	eventually(t, "the relay listens", func() (listens bool) {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	})
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	fmt.Fprint(conn, firstBytes)
	return &client{t, conn, bufio.NewReader(conn)}
}

// readResponse reads messages up to and including ReadyForQuery, or to the end of the connection. The cancellation key is
// masked, because it differs in each session.
func (c *client) readResponse() (lines []string) {
	for {
		raw, err := readMessage(c.reader, false)
		if err != nil {
			return append(lines, "  closed")
		}
		if raw[0] == 'K' {
			raw = raw[:5] + "(key)"
		}
		lines = append(lines, fmt.Sprintf("  %q", raw))
		if raw[0] == 'Z' {
			return lines
		}
	}
}

const startupParameters = "user\x00worker\x00database\x00catalog\x00\x00"

// TestServe runs a relay with emulated endpoints, discovery, platform, peer and clients, and compares what each of them
// receives from it.
func TestServe(t *testing.T) {
	t.Parallel()
	endpoint, endpointSeen, endpointEmpty := startEndpoint(t)
	platform, platformSeen := startPlatform(t)
	discovery := startDiscovery(t, listJSON(1, endpoint, "s-0", "s-1"))
	peer := startPeer(t)
	listen, peerListen := freeAddress(t), freeAddress(t)
	configPath := filepath.Join(t.TempDir(), "config.json")
	configJSON := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964","peer_listen":%q,"peers":[%q,%q],"peers_all":%q,
"platform":{"address":%q,"news":{"image":1,"ring":0,"progress":"stable","ceiling":1,"lag_ms":5000}},"known":%s,"settings":%s}`,
		listen, discovery.address, peerListen, peerListen, peer.conn.LocalAddr(), peer.conn.LocalAddr(), platform,
		listJSON(1, endpoint, "s-0", "s-1"), serveSettings)
	if err := os.WriteFile(configPath, []byte(configJSON), 0o600); err != nil {
		t.Fatal(err)
	}
	relay := startTool(t, "serve", "--config", configPath)
	lines := clientSession(t, listen)

	eventually(t, "a heartbeat arrives", func() bool { return peer.seen.contains("form 5") })
	discovery.replace(2, listJSON(2, endpoint, "s-0"))
	eventually(t, "a heartbeat with the next list arrives", func() bool { return peer.seen.contains("form 5, view 02") })
	peer.mu.Lock()
	oldHeartbeat := append([]byte{messageMagic, heartbeatType}, peer.listVersion...)
	peer.mu.Unlock()
	relayAddress, err := net.ResolveUDPAddr("udp", peerListen)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a relay with the older list receives the removed endpoints", func() bool {
		peer.conn.WriteToUDP(append(append([]byte(nil), oldHeartbeat...), 0, 0), relayAddress)
		return peer.seen.contains("form 6")
	})
	eventually(t, "the relay watches the platform", func() bool { return platformSeen.contains("WATCH") })
	eventually(t, "the relay watches discovery for changes of the next list", func() bool { return discovery.seen.contains("after=2&") })
	eventually(t, "the relay verifies a connection behind a response", func() bool { return endpointEmpty.contains("empty query") })
	relay.stop()

	lines = append(lines, "units saw:")
	lines = append(lines, endpointSeen.all()...)
	lines = append(lines, "discovery saw:")
	lines = append(lines, discovery.seen.all()...)
	lines = append(lines, "the platform saw:", platformSeen.all()[0], "the peer saw:")
	lines = append(lines, peer.seen.all()...)
	checkGolden(t, "serve/session", lines)
}

// clientSession sends a relay the requests of clients, and returns these with the responses.
func clientSession(t *testing.T, listen string) (lines []string) {
	t.Helper()
	ready := dialRelay(t, listen, startupMessage()+queryMessage("")) // answered once the relay is ready
	lines = append(lines, "startup with an empty query")
	lines = append(lines, ready.readResponse()...)
	lines = append(lines, ready.readResponse()...)
	for _, text := range []string{
		"SELECT body FROM objects WHERE oid = '7f3a' /* id=9b1f,c=look,t=acme,d=1900 */",
		`INSERT INTO objects (oid, body) VALUES ('7f3a', '\x9f03') RETURNING body /* id=9b20,c=order,t=acme,d=1900,k=5c0f */`,
		"SELECT body FROM objects WHERE oid = 'fails' /* id=9b21,c=pay,t=acme,d=1900 */",
		"SELECT body FROM objects WHERE oid = 'full' /* id=9b22,c=pay,t=acme,d=300 */",
		"SELECT body FROM objects WHERE oid = '7f3a' /* id=9b23,c=nothing,t=acme,d=1900 */",
		"SELECT body FROM objects WHERE oid = '7f3a' /* id=9b24,c=look,t=nobody,d=1900,r=1,h=500 */",
		"SELECT body FROM objects WHERE oid = '7f3a'",
		"SELECT 1",
		"SET x = 1",
		"",
	} {
		client := dialRelay(t, listen, startupMessage()+queryMessage(text))
		client.readResponse() // to the startup message
		lines = append(lines, fmt.Sprintf("%q", text))
		lines = append(lines, client.readResponse()...)
		fmt.Fprint(client, queryMessage("")) // answered if the connection is still usable
		lines = append(lines, client.readResponse()...)
	}
	for _, c := range []struct{ name, bytes string }{
		{"a message of the extended protocol", startupMessage() + message('P', "\x00SELECT 1\x00\x00\x00")},
		{"another protocol", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"version 2", "\x00\x00\x00\x08\x00\x02\x00\x00"},
		{"a cancel request", "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x00"},
		{"an end at once", startupMessage() + message('X', "")},
	} {
		lines = append(lines, c.name)
		client := dialRelay(t, listen, c.bytes)
		for last := ""; last != "  closed"; last = lines[len(lines)-1] {
			lines = append(lines, client.readResponse()...)
		}
	}
	encrypted := dialRelay(t, listen, "\x00\x00\x00\x08\x04\xd2\x16\x2f") // SSLRequest
	reply, err := encrypted.reader.ReadByte()
	return append(lines, fmt.Sprintf("a request for TLS: %q %v", reply, err))
}
