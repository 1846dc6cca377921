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
	patience = 10 * time.Second // for what has to happen; no test waits for it to pass
	others   = 2                // relays that the test plays; they have the lowest numbers
	self     = others           // the number of the relay under test: not 0, the number of one that is not known
)

// fleet is a relay's tier under test and the sockets of the other relays, which the test plays. The test plays the
// relay's loop, too.
type fleet struct {
	t      *testing.T
	tier   *Transport
	loop   *pipeline.Loop
	others [others]*net.UDPConn
	all    *net.UDPConn // where what is told to everyone goes
	log    *logtest.Hook
}

// newFleet opens a tier with the other relays, and starts nothing yet.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, all: socket(t)}
	f.loop, f.log = newLoop()
	addresses := make([]string, others+1)
	for i := range f.others {
		f.others[i] = socket(t)
		addresses[i] = addressOf(f.others[i]).String()
	}
	for f.tier == nil {
		addresses[self] = freeAddress(t)
		tier, err := Open(f.loop, addresses[self], addresses, addressOf(f.all).String())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // another program was given the port in between
		}
		if err != nil {
			t.Fatal(err)
		}
		f.tier = tier
	}
	t.Cleanup(func() {
		f.tier.conn.Close()
		close(f.tier.out)
	})
	return f
}

// newLoop is a loop of which the test takes the events, and what it logs.
func newLoop() (*pipeline.Loop, *logtest.Hook) {
	site := settings.Site{}
	site.Settings.Self, site.Settings.Relays = self, others+1
	log := logrus.New()
	log.SetOutput(io.Discard)
	hook := logtest.NewLocal(log)
	return pipeline.NewLoop(site, 1, buffer.NewPool(1<<20), &metrics.Counters{}, log), hook
}

// socket is one on loopback that ends with the test.
func socket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	return c
}

// freeAddress is one that nobody listened on just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	c := socket(t)
	defer c.Close()
	return addressOf(c).String()
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// receive reads the next datagram at a socket, which must come from the tier.
func (f *fleet) receive(at *net.UDPConn) string {
	f.t.Helper()
	buf := make([]byte, 2*MaxBody)
	n, from, err := at.ReadFromUDPAddrPort(buf)
	if err != nil {
		f.t.Fatal(err)
	}
	if from != addressOf(f.tier.conn) {
		f.t.Errorf("from %v, not %v", from, addressOf(f.tier.conn))
	}
	return string(buf[:n])
}

// send sends a datagram to the tier.
func (f *fleet) send(from *net.UDPConn, body string) {
	f.t.Helper()
	if _, err := from.WriteToUDPAddrPort([]byte(body), addressOf(f.tier.conn)); err != nil {
		f.t.Fatal(err)
	}
}

// tell has the tier send a message.
func (f *fleet) tell(to relay.RelayID, body string) {
	f.tier.SendMessage(relay.SendMessage{To: to, Body: []byte(body)})
}

// wait waits until a counter has reached a value, which it must not pass.
func (f *fleet) wait(counter metrics.Counter, want int64) {
	f.t.Helper()
	for end := time.Now().Add(patience); f.loop.Metrics.Get(counter) < want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("counter %d at %d, not %d", counter, f.loop.Metrics.Get(counter), want)
		}
	}
	f.hold(counter, want)
}

// hold fails the test where a counter has another value.
func (f *fleet) hold(counter metrics.Counter, want int64) {
	f.t.Helper()
	if got := f.loop.Metrics.Get(counter); got != want {
		f.t.Errorf("counter %d at %d, not %d", counter, got, want)
	}
}

// learned takes the events that wait for the loop, and gives what the module would hear of.
func (f *fleet) learned() []relay.Event {
	for _, e := range f.loop.TakePosted() {
		e.Apply(f.loop)
	}
	return f.loop.TakeEvents()
}

// hears fails the test unless exactly these were heard, in this order.
func (f *fleet) hears(want ...relay.MessageReceived) {
	f.t.Helper()
	same := func(got relay.Event, want relay.MessageReceived) bool {
		h, ok := got.(relay.MessageReceived)
		return ok && h.From == want.From && bytes.Equal(h.Body, want.Body)
	}
	if got := f.learned(); !slices.EqualFunc(got, want, same) {
		f.t.Errorf("%q, not %q", got, want)
	}
}

// TestTellGoesToOneRelay tells two relays different things: each gets its own alone.
func TestTellGoesToOneRelay(t *testing.T) {
	f := newFleet(t)
	f.tier.Start()
	f.tell(0, "to the first")
	f.tell(1, "to the second")
	if got := f.receive(f.others[0]); got != "to the first" {
		t.Errorf("%q", got)
	}
	if got := f.receive(f.others[1]); got != "to the second" { // and nothing before it
		t.Errorf("%q", got)
	}
	f.wait(metrics.PeerMessagesOut, 2)
	f.hold(metrics.PeerMessagesDropped, 0)
}

// TestTellGoesToEveryone sends once, to the address of all, and nothing to a single relay.
func TestTellGoesToEveryone(t *testing.T) {
	f := newFleet(t)
	f.tier.Start()
	f.tell(relay.Broadcast, "to everyone")
	f.tell(0, "to one")
	if got := f.receive(f.all); got != "to everyone" {
		t.Errorf("%q", got)
	}
	if got := f.receive(f.others[0]); got != "to one" { // and nothing before it
		t.Errorf("%q", got)
	}
	f.wait(metrics.PeerMessagesOut, 2)
	f.hold(metrics.PeerMessagesDropped, 0)
}

// TestTellDropsWhatHasNoWay tells a relay that is not listed, one whose address this socket can't reach, and everyone
// where no address of all is configured. Each is counted as dropped, and the next message goes out.
func TestTellDropsWhatHasNoWay(t *testing.T) {
	loop, _ := newLoop()
	one := socket(t)
	peers := []string{"127.0.0.1:9", addressOf(one).String(), "[::1]:9"}
	tier, err := Open(loop, "127.0.0.1:0", peers, "")
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, tier: tier, loop: loop}
	t.Cleanup(func() {
		tier.conn.Close()
		close(tier.out)
	})
	tier.Start()
	f.tell(relay.RelayID(len(peers)), "to a relay that is not listed")
	f.tell(2, "to another family of addresses")
	f.tell(relay.Broadcast, "to everyone")
	f.tell(1, "to one")
	if got := f.receive(one); got != "to one" {
		t.Errorf("%q", got)
	}
	f.wait(metrics.PeerMessagesOut, 1)
	f.hold(metrics.PeerMessagesDropped, 3) // the messages before it have been worked off
}

// TestTellDropsWhatIsTooLong holds messages to their bound: the longest goes out whole, a longer one is dropped and logged.
func TestTellDropsWhatIsTooLong(t *testing.T) {
	f := newFleet(t)
	f.tier.Start()
	longest := strings.Repeat("x", MaxBody)
	f.tell(0, longest+"y")
	f.tell(0, longest)
	if got := f.receive(f.others[0]); got != longest {
		t.Errorf("%d bytes: %q", len(got), got)
	}
	f.wait(metrics.PeerMessagesOut, 1)
	f.hold(metrics.PeerMessagesDropped, 1)
	if line := f.log.LastEntry(); line == nil || line.Level != logrus.ErrorLevel || line.Data["bytes"] != MaxBody+1 {
		t.Errorf("%+v", line)
	}
}

// TestTellDropsAtAFullQueue tells more than may wait while nothing is sent: Tell does not block, what is too much is
// dropped, and what waited goes out.
func TestTellDropsAtAFullQueue(t *testing.T) {
	const extra = 3
	f := newFleet(t)
	body := func(i int) string { return string([]byte{byte(i >> 8), byte(i)}) }
	for i := range limits.MaxQueuedPeerMessages + extra {
		f.tell(0, body(i))
	}
	f.hold(metrics.PeerMessagesDropped, extra)
	f.tier.Start()
	for i := range limits.MaxQueuedPeerMessages {
		if got := f.receive(f.others[0]); got != body(i) {
			t.Fatalf("%q instead of message %d", got, i)
		}
	}
	f.wait(metrics.PeerMessagesOut, limits.MaxQueuedPeerMessages)
	f.hold(metrics.PeerMessagesDropped, extra)
}

// TestHeardFromOthers hands on what other relays tell, with their numbers, up to the longest message; each has a body of
// its own.
func TestHeardFromOthers(t *testing.T) {
	f := newFleet(t)
	f.tier.Start()
	longest := strings.Repeat("x", MaxBody)
	f.send(f.others[1], longest)
	f.wait(metrics.PeerMessagesIn, 1)
	f.send(f.others[0], "from the first")
	f.wait(metrics.PeerMessagesIn, 2)
	f.send(f.others[0], "")
	f.wait(metrics.PeerMessagesIn, 3)
	f.hears(relay.MessageReceived{From: 1, Body: []byte(longest)}, relay.MessageReceived{From: 0, Body: []byte("from the first")},
		relay.MessageReceived{From: 0, Body: []byte{}})
	f.hold(metrics.PeerMessagesDropped, 0)
}

// TestDropsWhatIsNotOfThisTier drops datagrams from an address that is not listed, from the relay itself and beyond the
// longest message, counts them, and hears the next one.
func TestDropsWhatIsNotOfThisTier(t *testing.T) {
	for name, play := range map[string]func(f *fleet){
		"unknown sender": func(f *fleet) { f.send(socket(f.t), "from a stranger") },
		"itself":         func(f *fleet) { f.tell(self, "to itself") },
		"one too long":   func(f *fleet) { f.send(f.others[0], strings.Repeat("x", MaxBody+1)) },
		"far too long":   func(f *fleet) { f.send(f.others[0], strings.Repeat("x", 8*MaxBody)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.tier.Start()
			play(f)
			f.wait(metrics.PeerMessagesDropped, 1)
			f.send(f.others[0], "from the first")
			f.wait(metrics.PeerMessagesIn, 1)
			f.hears(relay.MessageReceived{From: 0, Body: []byte("from the first")})
			f.hold(metrics.PeerMessagesDropped, 1)
		})
	}
}

// TestHeardDropsAtAFullQueue lets a message come while the loop has as many events waiting as it may: it is dropped, and
// one that comes when there is room again is heard.
func TestHeardDropsAtAFullQueue(t *testing.T) {
	f := newFleet(t)
	for range limits.MaxQueuedEvents {
		f.loop.Post(pipeline.Func(func(*pipeline.Loop) {}))
	}
	f.tier.Start()
	f.send(f.others[0], "too much")
	f.wait(metrics.QueueLimitReached, 1)
	f.hold(metrics.PeerMessagesIn, 0)
	f.hears()
	f.send(f.others[0], "there is room")
	f.wait(metrics.PeerMessagesIn, 1)
	f.hears(relay.MessageReceived{From: 0, Body: []byte("there is room")})
	f.hold(metrics.QueueLimitReached, 1)
}

// TestOpenRefuses starts with addresses that can't be read or bound: one plain line names the setting and the fault.
func TestOpenRefuses(t *testing.T) {
	taken := addressOf(socket(t)).String()
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
			tier, err := Open(loop, x.listen, x.peers, x.all)
			if err == nil || tier != nil {
				t.Fatalf("opened: %v, error: %v", tier != nil, err)
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
