// Package peers transports messages between relays as UDP datagrams without acknowledgement.
//
// A Transport owns one socket and a queue of messages to send. One goroutine reads the socket and posts received messages to
// the loop; another writes the queued messages to the socket. On the loop, messages of the membership protocol are passed to
// its host, all others to the decision module. The package imports internal/pipeline for the loop, internal/limits,
// internal/metrics, and membership to recognize its messages.
package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"lichenroad/internal/limits"
	"lichenroad/internal/metrics"
	"lichenroad/internal/pipeline"
	"lichenroad/membership"
	"lichenroad/relay"
)

// MaxDatagramBytes is the maximum size of a datagram in the protocol between relays.
const MaxDatagramBytes = 256

// Membership receives messages of the membership protocol. Its method is called on the loop.
type Membership interface {
	MembershipMessage(from relay.ID, body []byte)
}

// Transport sends messages to and receives messages from the other relays of a fleet. Its methods may be called on any
// goroutine.
type Transport struct {
	// Membership must be set before Start. If it is nil, membership messages are passed to the decision module, which does not
	// understand them.
	Membership Membership

	// The fields below do not change after Open.
	loop             *pipeline.Loop
	conn             *net.UDPConn
	addresses        []netip.AddrPort // by relay number
	numbers          map[netip.AddrPort]relay.ID
	broadcastAddress netip.AddrPort         // reaches all other relays; not valid if there is none
	sendQueue        chan relay.SendMessage // capacity limits.MaxQueuedPeerMessages
}

// Open binds the address at which this relay receives messages. peers holds the addresses of all relays by relay number;
// broadcast is an address that reaches all of them, or empty. Errors name the setting that is wrong.
func Open(loop *pipeline.Loop, listen string, peers []string, broadcast string) (*Transport, error) {
	t := &Transport{
		loop:      loop,
		numbers:   map[netip.AddrPort]relay.ID{},
		sendQueue: make(chan relay.SendMessage, limits.MaxQueuedPeerMessages),
	}
	for i, peer := range peers {
		address, err := parseAddress("peers", peer)
		if err != nil {
			return nil, err
		}
		t.addresses = append(t.addresses, address)
		t.numbers[address] = relay.ID(i)
	}
	var err error
	if broadcast != "" {
		if t.broadcastAddress, err = parseAddress("peers_all", broadcast); err != nil {
			return nil, err
		}
	}
	listenAddress, err := parseAddress("peer_listen", listen)
	if err != nil {
		return nil, err
	}
	if t.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddress)); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return t, nil
}

// parseAddress parses an address with a port. Its error names the setting and quotes its value.
func parseAddress(setting, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, fmt.Errorf("%s: %q: %w", setting, text, err)
	}
	return address, nil
}

// Start starts the goroutines that send and receive until the process ends.
func (t *Transport) Start() {
	go t.readLoop()
	go t.writeLoop()
}

// SendMessage queues a message without blocking. If the message is too long or the queue is full, it is dropped and counted.
func (t *Transport) SendMessage(m relay.SendMessage) {
	if len(m.Body) > MaxDatagramBytes {
		t.countDropped()
		t.loop.Log.WithFields(logrus.Fields{"peer": "relay", "bytes": len(m.Body)}).Error("peer message too long")
		return
	}
	select {
	case t.sendQueue <- m:
	default:
		t.countDropped()
	}
}

// writeLoop sends the queued messages until the queue is closed, which only tests do.
func (t *Transport) writeLoop() {
	for m := range t.sendQueue {
		t.write(m)
	}
}

// write sends one message. It does not retry after an error, as receivers must cope with lost messages anyway.
func (t *Transport) write(m relay.SendMessage) {
	address := t.addressOf(m.To)
	if !address.IsValid() {
		t.countDropped()
		return
	}
	if _, err := t.conn.WriteToUDPAddrPort(m.Body, address); err != nil {
		t.countDropped()
		t.loop.Log.WithField("peer", "relay").WithError(err).Debug("peer message not sent")
		return
	}
	t.loop.Metrics.Add(metrics.PeerMessagesOut, 1)
}

// addressOf returns the address of a relay, or the broadcast address for relay.Broadcast. If there is none, the result is not
// valid.
func (t *Transport) addressOf(to relay.ID) netip.AddrPort {
	if to == relay.Broadcast {
		return t.broadcastAddress
	}
	if int(to) >= len(t.addresses) {
		return netip.AddrPort{}
	}
	return t.addresses[to]
}

// readLoop receives messages until the socket is closed, which only tests do.
func (t *Transport) readLoop() {
	var buffer [MaxDatagramBytes + 1]byte // one byte more than allowed, to detect datagrams that are too long
	for {
		size, sender, err := t.conn.ReadFromUDPAddrPort(buffer[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.loop.Log.WithField("peer", "relay").WithError(err).Warn("peer message read failed")
			time.Sleep(limits.PeerReadRetryDelay)
			continue
		}
		t.receive(sender, buffer[:size])
	}
}

// receive posts a datagram from another relay to the loop, unless the queue of the loop is full. It drops and counts
// datagrams that are too long or come from unknown senders or this relay itself. body is only valid during the call.
func (t *Transport) receive(sender netip.AddrPort, body []byte) {
	number, known := t.numbers[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
	if !known || len(body) > MaxDatagramBytes || number == t.loop.Site.Self {
		t.countDropped()
		return
	}
	received := relay.MessageReceived{From: number, Body: append([]byte(nil), body...)}
	posted := t.loop.TryPost(pipeline.Func(func(l *pipeline.Loop) { t.deliver(l, received) }))
	if posted {
		t.loop.Metrics.Add(metrics.PeerMessagesIn, 1)
	}
}

// deliver passes a message to the membership protocol or to the decision module. It runs on the loop.
func (t *Transport) deliver(l *pipeline.Loop, received relay.MessageReceived) {
	if t.Membership != nil && membership.IsMessage(received.Body) {
		t.Membership.MembershipMessage(received.From, received.Body)
		return
	}
	l.AddEvent(received)
}

func (t *Transport) countDropped() { t.loop.Metrics.Add(metrics.PeerMessagesDropped, 1) }
