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
	testTimeout = 10 * time.Second // for what has to happen; no test waits until it is over
	peerCount   = 2                // relays that the test plays, with the lowest numbers
	self        = peerCount        // number of the relay under test; not 0, which an unknown sender would have
)

// fleet is the transport under test and the sockets of the other relays, which the test plays. It also plays the loop.
type fleet struct {
	t         *testing.T
	transport *Transport
	loop      *pipeline.Loop
	peers     [peerCount]*net.UDPConn
	broadcast *net.UDPConn // receives broadcasts
	log       *logtest.Hook
}

// newFleet opens a transport that the test has to start.
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
			continue // another process took the port in between
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

// newLoop returns a loop whose events the test takes, and what it logs.
func newLoop() (*pipeline.Loop, *logtest.Hook) {
	site := settings.Site{}
	site.Self = self
	site.Relays = peerCount + 1
	log := logrus.New()
	log.SetOutput(io.Discard)
	hook := logtest.NewLocal(log)
	return pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log), hook
}

// openSocket returns a socket on loopback that is closed at the end of the test.
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

// freeAddress returns an address on which nobody listened just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	c := openSocket(t)
	defer c.Close()
	return addressOf(c).String()
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// receive reads the next datagram at a socket, which must come from the transport.
func (f *fleet) receive(at *net.UDPConn) string {
	f.t.Helper()
	buf := make([]byte, 2*MaxDatagramBytes)
	n, from, err := at.ReadFromUDPAddrPort(buf)
	if err != nil {
		f.t.Fatal(err)
	}
	if from != addressOf(f.transport.conn) {
		f.t.Errorf("from %v, not %v", from, addressOf(f.transport.conn))
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

// sendMessage has the transport send a message.
func (f *fleet) sendMessage(to relay.ID, body string) {
	f.transport.SendMessage(relay.SendMessage{To: to, Body: []byte(body)})
}

// waitForCounter waits until a counter has reached a value, which it must not exceed.
func (f *fleet) waitForCounter(counter metrics.Counter, want int64) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); f.loop.Metrics.Get(counter) < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("counter %d at %d, not %d", counter, f.loop.Metrics.Get(counter), want)
		}
	}
	f.wantCounter(counter, want)
}

// wantCounter fails the test if a counter has another value.
func (f *fleet) wantCounter(counter metrics.Counter, want int64) {
	f.t.Helper()
	if got := f.loop.Metrics.Get(counter); got != want {
		f.t.Errorf("counter %d at %d, not %d", counter, got, want)
	}
}

// takeEvents applies the events posted to the loop, and returns those for the decision code.
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
		h, ok := got.(relay.MessageReceived)
		return ok && h.From == want.From && bytes.Equal(h.Body, want.Body)
	}
	if got := f.takeEvents(); !slices.EqualFunc(got, want, same) {
		f.t.Errorf("%q, not %q", got, want)
	}
}

// TestMessageGoesToOneRelay sends each of two relays a message of its own.
func TestMessageGoesToOneRelay(t *testing.T) {
	f := newFleet(t)
	f.transport.Start()
	f.sendMessage(0, "to the first")
	f.sendMessage(1, "to the second")
	if got := f.receive(f.peers[0]); got != "to the first" {
		t.Errorf("%q", got)
	}
	if got := f.receive(f.peers[1]); got != "to the second" { // and nothing before it
		t.Errorf("%q", got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 2)
	f.wantCounter(metrics.PeerMessagesDropped, 0)
}

// TestBroadcastGoesToTheBroadcastAddress sends a broadcast once, and not to single relays.
func TestBroadcastGoesToTheBroadcastAddress(t *testing.T) {
	f := newFleet(t)
	f.transport.Start()
	f.sendMessage(relay.Broadcast, "to everyone")
	f.sendMessage(0, "to one")
	if got := f.receive(f.broadcast); got != "to everyone" {
		t.Errorf("%q", got)
	}
	if got := f.receive(f.peers[0]); got != "to one" { // and nothing before it
		t.Errorf("%q", got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 2)
	f.wantCounter(metrics.PeerMessagesDropped, 0)
}

// TestSendDropsMessagesWithoutAnAddress sends to a relay that is not listed, to one whose address this socket can't reach, and
// a broadcast without a broadcast address. Each is counted as dropped, and the next message is sent.
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
		t.Errorf("%q", got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 1)
	f.wantCounter(metrics.PeerMessagesDropped, 3) // the messages before it are done with
}

// TestSendDropsMessagesThatAreTooLong sends the longest message allowed, and drops and logs a longer one.
func TestSendDropsMessagesThatAreTooLong(t *testing.T) {
	f := newFleet(t)
	f.transport.Start()
	longest := strings.Repeat("x", MaxDatagramBytes)
	f.sendMessage(0, longest+"y")
	f.sendMessage(0, longest)
	if got := f.receive(f.peers[0]); got != longest {
		t.Errorf("%d bytes: %q", len(got), got)
	}
	f.waitForCounter(metrics.PeerMessagesOut, 1)
	f.wantCounter(metrics.PeerMessagesDropped, 1)
	if line := f.log.LastEntry(); line == nil || line.Level != logrus.ErrorLevel || line.Data["bytes"] != MaxDatagramBytes+1 {
		t.Errorf("%+v", line)
	}
}

// TestSendDropsMessagesAtAFullQueue queues more than is allowed before anything is sent: SendMessage does not block, the
// excess is dropped, and the queued messages are sent.
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
			t.Fatalf("%q instead of message %d", got, i)
		}
	}
	f.waitForCounter(metrics.PeerMessagesOut, limits.MaxQueuedPeerMessages)
	f.wantCounter(metrics.PeerMessagesDropped, extra)
}

// TestReceivesMessagesOfPeers receives messages of other relays with their numbers, up to the longest; each has a body of its own.
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

// TestDropsDatagramsFromOutsideTheFleet drops and counts datagrams from an address that is not listed, from the relay itself
// and of too many bytes, and receives the next message.
func TestDropsDatagramsFromOutsideTheFleet(t *testing.T) {
	for name, play := range map[string]func(f *fleet){
		"unknown sender": func(f *fleet) { f.sendDatagram(openSocket(f.t), "from a stranger") },
		"itself":         func(f *fleet) { f.sendMessage(self, "to itself") },
		"one too long":   func(f *fleet) { f.sendDatagram(f.peers[0], strings.Repeat("x", MaxDatagramBytes+1)) },
		"far too long":   func(f *fleet) { f.sendDatagram(f.peers[0], strings.Repeat("x", 8*MaxDatagramBytes)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.transport.Start()
			play(f)
			f.waitForCounter(metrics.PeerMessagesDropped, 1)
			f.sendDatagram(f.peers[0], "from the first")
			f.waitForCounter(metrics.PeerMessagesIn, 1)
			f.wantReceived(relay.MessageReceived{From: 0, Body: []byte("from the first")})
			f.wantCounter(metrics.PeerMessagesDropped, 1)
		})
	}
}

// TestReceiveDropsMessagesAtAFullQueue receives a message while the loop's queue is full, which is dropped, and another one once
// there is capacity again.
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

// TestOpenRejectsBadAddresses opens addresses that can't be parsed or bound: the error names the setting and the fault in one line.
func TestOpenRejectsBadAddresses(t *testing.T) {
	taken := addressOf(openSocket(t)).String()
	for name, x := range map[string]struct {
		listen string
		peers  []string
		all    string
		want   []string // parts of the error
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
			transport, err := Open(loop, x.listen, x.peers, x.all)
			if err == nil || transport != nil {
				t.Fatalf("opened: %v, error: %v", transport != nil, err)
			}
			for _, part := range x.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q lacks %q", err, part)
				}
			}
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("more than a line: %q", err)
			}
		})
	}
}
