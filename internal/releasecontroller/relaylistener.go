package releasecontroller

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
	"lichenroad/plan"
)

// relayListener is one listening address: of one relay, or for the watchers of a service. netpoll's event loop accepts
// on a goroutine of its own, which ends when the controller shuts down.
type relayListener struct {
	controller *Controller
	service    plan.ServiceIndex
	relay      string // empty: watchers, whose votes are not taken
	listener   net.Listener
	open       atomic.Int64 // connections
}

// connKey is the key of a *relayConn in the context that netpoll hands to its callbacks.
type connKey struct{}

// listen opens a listener and returns its address. It is called before the loop starts.
func (d *Controller) listen(service plan.ServiceIndex, relay, address string) (string, error) {
	l := &relayListener{controller: d, service: service, relay: relay}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	l.listener = listener
	received := func(ctx context.Context, _ netpoll.Connection) error {
		return ctx.Value(connKey{}).(*relayConn).read()
	}
	loop, err := netpoll.NewEventLoop(received, netpoll.WithOnPrepare(l.accept))
	if err != nil {
		_ = listener.Close() // the event loop's error says why it is not used
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = loop.Serve(listener) }() // it returns at shutdown, with the error of a listener that accepts no more
	d.listeners = append(d.listeners, l)
	return listener.Addr().String(), nil
}

// accept is netpoll's callback for a new connection. Over the bound it is closed at once.
func (l *relayListener) accept(connection netpoll.Connection) context.Context {
	c := &relayConn{listener: l, net: connection, openedAt: time.Now()}
	c.lastCallAt.Store(c.openedAt.UnixNano())
	_ = connection.SetWriteTimeout(writeTimeout) // netpoll stores it and returns nil
	_ = connection.AddCloseCallback(c.closed)    // as above
	if l.open.Add(1) > maxConnsEach {
		c.close(metrics.ClosedByLimit, nil)
	} else {
		l.controller.post(func(d *Controller) { d.conns[c] = struct{}{} })
	}
	return context.WithValue(context.Background(), connKey{}, c)
}
