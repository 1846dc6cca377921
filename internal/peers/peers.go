// Package peers carries the messages of relays to one another, as UDP datagrams.
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

// MaxBody of a datagram in bytes, by the protocol page.
const MaxBody = 256

// Membership takes the messages about the list of units. It is called on the loop.
type Membership interface {
	MembershipMessage(from relay.RelayID, body []byte)
}

// Tier is the relays that may tell one another things.
type Transport struct {
	// Membership is set before Start; nil: such messages are dropped by the module, as unknown.
	Membership Membership

	loop *pipeline.Loop
	conn *net.UDPConn
	to   []netip.AddrPort
	all  netip.AddrPort
	from map[netip.AddrPort]relay.RelayID
	out  chan relay.SendMessage
}

// Open binds the address for messages; peers are the relays' addresses in the order of their numbers.
func Open(l *pipeline.Loop, listen string, peers []string, all string) (*Transport, error) {
	t := &Transport{loop: l, from: map[netip.AddrPort]relay.RelayID{}, out: make(chan relay.SendMessage, limits.MaxQueuedPeerMessages)}
	for i, s := range peers {
		a, err := parse("peers", s)
		if err != nil {
			return nil, err
		}
		t.to = append(t.to, a)
		t.from[a] = relay.RelayID(i)
	}
	if all != "" {
		a, err := parse("peers_all", all)
		if err != nil {
			return nil, err
		}
		t.all = a
	}
	a, err := parse("peer_listen", listen)
	if err != nil {
		return nil, err
	}
	if t.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(a)); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return t, nil
}

// parse reads an address; the error names the setting and what stands there.
func parse(setting, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, fmt.Errorf("%s: %q: %w", setting, text, err)
	}
	return a, nil
}

// Start serves until the program ends.
func (t *Transport) Start() {
	go t.reading()
	go t.writing()
}

// Tell sends a message, or drops it: a message may be lost at any time.
func (t *Transport) SendMessage(m relay.SendMessage) {
	if len(m.Body) > MaxBody {
		t.loop.Metrics.Add(metrics.PeerMessagesDropped, 1)
		t.loop.Log.WithFields(logrus.Fields{"peer": "relay", "bytes": len(m.Body)}).Error("peer message too long")
		return
	}
	select {
	case t.out <- m:
	default:
		t.loop.Metrics.Add(metrics.PeerMessagesDropped, 1)
	}
}

func (t *Transport) writing() {
	for m := range t.out {
		to := t.all
		if m.To != relay.Broadcast {
			to = netip.AddrPort{}
			if int(m.To) < len(t.to) {
				to = t.to[m.To]
			}
		}
		if !to.IsValid() {
			t.loop.Metrics.Add(metrics.PeerMessagesDropped, 1)
			continue
		}
		if _, err := t.conn.WriteToUDPAddrPort(m.Body, to); err != nil {
			t.loop.Metrics.Add(metrics.PeerMessagesDropped, 1)
			t.loop.Log.WithField("peer", "relay").WithError(err).Debug("peer message not sent")
			continue
		}
		t.loop.Metrics.Add(metrics.PeerMessagesOut, 1)
	}
}

func (t *Transport) reading() {
	var buf [MaxBody + 1]byte
	for {
		n, addr, err := t.conn.ReadFromUDPAddrPort(buf[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.loop.Log.WithField("peer", "relay").WithError(err).Warn("peer message read failed")
			time.Sleep(limits.PeerReadRetryDelay)
			continue
		}
		no, known := t.from[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !known || n > MaxBody || no == t.loop.Site.Self {
			t.loop.Metrics.Add(metrics.PeerMessagesDropped, 1)
			continue
		}
		heard := relay.MessageReceived{From: no, Body: append([]byte(nil), buf[:n]...)}
		if t.loop.TryPost(pipeline.Func(func(l *pipeline.Loop) { t.deliver(l, heard) })) {
			t.loop.Metrics.Add(metrics.PeerMessagesIn, 1)
		}
	}
}

// deliver hands a message to the part that it is for, on the loop.
func (t *Transport) deliver(l *pipeline.Loop, heard relay.MessageReceived) {
	if t.Membership != nil && membership.IsMessage(heard.Body) {
		t.Membership.MembershipMessage(heard.From, heard.Body)
		return
	}
	l.AddEvent(heard)
}
