package peers

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"lichenroad/internal/buffer"
	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/relay"
	"lichenroad/settings"
)

const (
	testTimeout = 10 * time.Second // upper limit for expected events; a test that passes does not wait that long
	peerCount   = 2                // relays simulated by the test; they have the lowest numbers
	self        = peerCount        // number of the relay under test; not 0, which a map lookup returns for an unknown sender
)

// fleet holds the transport under test and the sockets of the other relays, which the test simulates. The test also runs the
// loop's events itself.
type fleet struct {
	t         *testing.T
	transport *Transport
	loop      *pipeline.Loop
	peers     [peerCount]*net.UDPConn
	broadcast *net.UDPConn // receives broadcasts
	log       *logtest.Hook
}

// newFleet opens a transport. The test has to start it.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, broadcast: openSocket(t)}
	f.loop, f.log = newLoop()
	addresses := make([]string, peerCount+1)
	for i := range f.peers {
		f.peers[i] = openSocket(t)
		addresses[i] = addressOf(f.peers[i]).String()
	}
	for f.transport == nil {
		addresses[self] = freeAddress(t)
		transport, err := Open(f.loop, addresses[self], addresses, addressOf(f.broadcast).String())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // another process took the port meanwhile
		}
		if err != nil {
			t.Fatal(err)
		}
		f.transport = transport
	}
	t.Cleanup(func() {
		f.transport.conn.Close()
		close(f.transport.sendQueue)
	})
	return f
}

// newLoop returns a loop whose events the test takes, and a hook that records its log entries.
func newLoop() (*pipeline.Loop, *logtest.Hook) {
	site := settings.Site{}
	site.Self = self
	site.Relays = peerCount + 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	hook := logtest.NewLocal(log)
	return pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log), hook
}

// openSocket opens a socket on a loopback address, which is closed at the end of the test.
func openSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	c := openSocket(t)
	defer c.Close()
	return addressOf(c).String()
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// receive reads the next datagram at a socket and checks that it comes from the transport.
func (f *fleet) receive(at *net.UDPConn) string {
	f.t.Helper()
	buf := make([]byte, 2*MaxDatagramBytes)
	n, from, err := at.ReadFromUDPAddrPort(buf)
	if err != nil {
		f.t.Fatal(err)
	}
	if from != addressOf(f.transport.conn) {
		f.t.Errorf("datagram from %v, want %v", from, addressOf(f.transport.conn))
	}
	return string(buf[:n])
}

// sendDatagram sends a datagram to the transport.
func (f *fleet) sendDatagram(from *net.UDPConn, body string) {
	f.t.Helper()
	if _, err := from.WriteToUDPAddrPort([]byte(body), addressOf(f.transport.conn)); err != nil {
		f.t.Fatal(err)
	}
}

// sendMessage sends a message by the transport under test.
func (f *fleet) sendMessage(to relay.ID, body string) {
	f.transport.SendMessage(relay.SendMessage{To: to, Body: []byte(body)})
}

// waitForCounter waits until a counter has reached a value, and fails the test if it exceeds it.
func (f *fleet) waitForCounter(counter metrics.Counter, want int64) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); f.loop.Metrics.Get(counter) < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("counter %d is %d, want %d", counter, f.loop.Metrics.Get(counter), want)
		}
	}
	f.wantCounter(counter, want)
}

// wantCounter fails the test if a counter has another value.
func (f *fleet) wantCounter(counter metrics.Counter, want int64) {
	f.t.Helper()
	if got := f.loop.Metrics.Get(counter); got != want {
		f.t.Errorf("counter %d is %d, want %d", counter, got, want)
	}
}

// takeEvents applies the events posted to the loop, and returns the resulting events for the decision module.
func (f *fleet) takeEvents() []relay.Event {
	for _, e := range f.loop.TakePosted() {
		e.Apply(f.loop)
	}
	return f.loop.TakeEvents()
}

// wantReceived fails the test unless exactly these messages were received, in this order.
func (f *fleet) wantReceived(want ...relay.MessageReceived) {
	f.t.Helper()
	same := func(got relay.Event, want relay.MessageReceived) bool {
		message, ok := got.(relay.MessageReceived)
		return ok && message.From == want.From && bytes.Equal(message.Body, want.Body)
	}
	if got := f.takeEvents(); !slices.EqualFunc(got, want, same) {
		f.t.Errorf("received %q, want %q", got, want)
	}
}

// TestMessageGoesToOneRelay sends a different message to each of two relays.
func TestMessageGoesToOneRelay(t *testing.T) {
	f := newFleet(t)
	f.transport.Start()
	f.sendMessage(0, "to the first")
	f.sendMessage(1, "to the second")
	if got := f.receive(f.peers[0]); got != "to the first" {
		t.Errorf("the first relay received %q", got)
	}
	if got := f.receive(f.peers[1]); got != "to the second" { // and no other message before it
		t.Errorf("the second relay received %q", got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 2)
	f.wantCounter(metrics.PeerMessagesDropped, 0)
}

// TestBroadcastGoesToTheBroadcastAddress checks that a broadcast is sent once to the broadcast address and not to the relays.
func TestBroadcastGoesToTheBroadcastAddress(t *testing.T) {
	f := newFleet(t)
	f.transport.Start()
	f.sendMessage(relay.Broadcast, "to everyone")
	f.sendMessage(0, "to one")
	if got := f.receive(f.broadcast); got != "to everyone" {
		t.Errorf("the broadcast address received %q", got)
	}
	if got := f.receive(f.peers[0]); got != "to one" { // and no other message before it
		t.Errorf("the relay received %q", got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 2)
	f.wantCounter(metrics.PeerMessagesDropped, 0)
}

// TestSendDropsMessagesWithoutAnAddress sends a message to a relay that is not listed, one to an address that an IPv4 socket
// can't reach, and a broadcast without a broadcast address. Each must be counted as dropped, and the next message sent.
func TestSendDropsMessagesWithoutAnAddress(t *testing.T) {
	loop, _ := newLoop()
	one := openSocket(t)
	peers := []string{"127.0.0.1:9", addressOf(one).String(), "[::1]:9"}
	transport, err := Open(loop, "127.0.0.1:0", peers, "")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, transport: transport, loop: loop}
	t.Cleanup(func() {
		transport.conn.Close()
		close(transport.sendQueue)
	})
	transport.Start()
	f.sendMessage(relay.ID(len(peers)), "to a relay that is not listed")
	f.sendMessage(2, "to another family of addresses")
	f.sendMessage(relay.Broadcast, "to everyone")
	f.sendMessage(1, "to one")
	if got := f.receive(one); got != "to one" {
		t.Errorf("the relay received %q", got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 1)
	f.wantCounter(metrics.PeerMessagesDropped, 3) // the messages before the one received
}

// TestSendDropsMessagesThatAreTooLong checks that a message that is too long is dropped and logged, and that the longest
// allowed message is sent.
func TestSendDropsMessagesThatAreTooLong(t *testing.T) {
	f := newFleet(t)
	f.transport.Start()
	longest := strings.Repeat("x", MaxDatagramBytes)
	f.sendMessage(0, longest+"y")
	f.sendMessage(0, longest)
	if got := f.receive(f.peers[0]); got != longest {
		t.Errorf("received %d bytes, want the longest message: %q", len(got), got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 1)
	f.wantCounter(metrics.PeerMessagesDropped, 1)
	if line := f.log.LastEntry(); line == nil || line.Level != logrus.ErrorLevel || line.Data["bytes"] != MaxDatagramBytes+1 {
		t.Errorf("last log entry %+v", line)
	}
}

// TestSendDropsMessagesAtAFullQueue queues more messages than the queue holds before the transport is started. SendMessage
// must not block, the excess must be dropped, and the queued messages must be sent.
func TestSendDropsMessagesAtAFullQueue(t *testing.T) {
	const extra = 3
	f := newFleet(t)
	body := func(i int) string { return string([]byte{byte(i >> 8), byte(i)}) }
	for i := range limits.MaxQueuedPeerMessages + extra {
		f.sendMessage(0, body(i))
	}
	f.wantCounter(metrics.PeerMessagesDropped, extra)
	f.transport.Start()
	for i := range limits.MaxQueuedPeerMessages {
		if got := f.receive(f.peers[0]); got != body(i) {
			t.Fatalf("received %q, want message %d", got, i)
		}
	}
	f.waitForCounter(metrics.PeerMessagesOut, limits.MaxQueuedPeerMessages)
	f.wantCounter(metrics.PeerMessagesDropped, extra)
}

// TestReceivesMessagesOfPeers checks that messages from other relays, up to the longest allowed, are received with the number
// of the sender. Each event must have its own copy of the body, as the read buffer is reused.
func TestReceivesMessagesOfPeers(t *testing.T) {
	f := newFleet(t)
	f.transport.Start()
	longest := strings.Repeat("x", MaxDatagramBytes)
	f.sendDatagram(f.peers[1], longest)
	f.waitForCounter(metrics.PeerMessagesIn, 1)
	f.sendDatagram(f.peers[0], "from the first")
	f.waitForCounter(metrics.PeerMessagesIn, 2)
	f.sendDatagram(f.peers[0], "")
	f.waitForCounter(metrics.PeerMessagesIn, 3)
	f.wantReceived(relay.MessageReceived{From: 1, Body: []byte(longest)}, relay.MessageReceived{From: 0, Body: []byte("from the first")},
		relay.MessageReceived{From: 0, Body: []byte{}})
	f.wantCounter(metrics.PeerMessagesDropped, 0)
}

// TestDropsInvalidDatagrams checks that datagrams from an unlisted address, from the relay itself and with too many bytes are
// dropped and counted, and that the next message is received.
func TestDropsInvalidDatagrams(t *testing.T) {
	for name, send := range map[string]func(f *fleet){
		"unknown sender": func(f *fleet) { f.sendDatagram(openSocket(f.t), "from a stranger") },
		"itself":         func(f *fleet) { f.sendMessage(self, "to itself") },
		"one too long":   func(f *fleet) { f.sendDatagram(f.peers[0], strings.Repeat("x", MaxDatagramBytes+1)) },
		"far too long":   func(f *fleet) { f.sendDatagram(f.peers[0], strings.Repeat("x", 8*MaxDatagramBytes)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.transport.Start()
			send(f)
			f.waitForCounter(metrics.PeerMessagesDropped, 1)
			f.sendDatagram(f.peers[0], "from the first")
			f.waitForCounter(metrics.PeerMessagesIn, 1)
			f.wantReceived(relay.MessageReceived{From: 0, Body: []byte("from the first")})
			f.wantCounter(metrics.PeerMessagesDropped, 1)
		})
	}
}

// TestReceiveDropsMessagesAtAFullQueue checks that a message received while the loop's queue is full is dropped, and that the
// next one is received once there is room in the queue again.
func TestReceiveDropsMessagesAtAFullQueue(t *testing.T) {
	f := newFleet(t)
	for range limits.MaxQueuedEvents {
		f.loop.Post(pipeline.Func(func(*pipeline.Loop) {}))
	}
	f.transport.Start()
	f.sendDatagram(f.peers[0], "queue full")
	f.waitForCounter(metrics.QueueLimitReached, 1)
	f.wantCounter(metrics.PeerMessagesIn, 0)
	f.wantReceived()
	f.sendDatagram(f.peers[0], "capacity again")
	f.waitForCounter(metrics.PeerMessagesIn, 1)
	f.wantReceived(relay.MessageReceived{From: 0, Body: []byte("capacity again")})
	f.wantCounter(metrics.QueueLimitReached, 1)
}

// TestOpenRejectsBadAddresses checks that an address that can't be parsed or bound is rejected with a one-line error that names
// the setting and what is wrong.
func TestOpenRejectsBadAddresses(t *testing.T) {
	taken := addressOf(openSocket(t)).String()
	for name, test := range map[string]struct {
		listen    string
		peers     []string
		broadcast string
		want      []string // parts of the error
	}{
		"a peer without a port": {"127.0.0.1:0", []string{"127.0.0.1:7", "127.0.0.1"}, "", []string{"peers: ", `"127.0.0.1"`}},
		"a peer by name":        {"127.0.0.1:0", []string{"relay-1:7"}, "", []string{"peers: ", "relay-1"}},
		"an empty peer":         {"127.0.0.1:0", []string{""}, "", []string{"peers: "}},
		"all":                   {"127.0.0.1:0", nil, "127.0.0.1:70000", []string{"peers_all: ", "70000"}},
		"listen":                {"here", nil, "", []string{"peer_listen: ", `"here"`}},
		"listen, port taken":    {taken, nil, "", []string{"peer_listen: ", "address already in use"}},
	} {
		t.Run(name, func(t *testing.T) {
			loop, _ := newLoop()
			transport, err := Open(loop, test.listen, test.peers, test.broadcast)
			if err == nil || transport != nil {
				t.Fatalf("opened: %v, error: %v", transport != nil, err)
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error %q does not contain %q", err, part)
				}
			}
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("error has more than one line: %q", err)
			}
		})
	}
}
