package releasecontroller

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/metrics"
	"lichenroad/internal/readahead"
	"lichenroad/plan"
)

// relayListener listens at one address, either for one relay or for the watchers of a service. netpoll's event loop accepts
// connections on a separate goroutine, which ends when the controller shuts down.
type relayListener struct {
	controller *Controller
	service    plan.ServiceIndex
	relay      string // empty: the listener is for watchers, whose votes are rejected
	listener   net.Listener
	open       atomic.Int64 // number of open connections
}

// connKey is the key of the *relayConn in the context that netpoll passes to its callbacks.
type connKey struct{}

// listen opens a listener and returns its address. It must be called before the loop starts.
func (ctl *Controller) listen(service plan.ServiceIndex, relay, address string) (string, error) {
	l := &relayListener{controller: ctl, service: service, relay: relay}
	readahead.Install()
	listener, err := readahead.Listen(address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	l.listener = listener
	received := func(ctx context.Context, _ netpoll.Connection) error {
		return ctx.Value(connKey{}).(*relayConn).read()
	}
	loop, err := netpoll.NewEventLoop(received, netpoll.WithOnPrepare(l.accept))
	if err != nil {
		_ = listener.Close() // the error of the event loop is returned instead
		return "", fmt.Errorf("start the event loop at %s: %w", address, err)
	}
	go func() { _ = loop.Serve(listener) }() // returns at shutdown with the error of the stopped listener, which is of no use
	ctl.listeners = append(ctl.listeners, l)
	return listener.Addr().String(), nil
}

// accept is netpoll's callback for a new connection. It closes connections beyond maxConnsPerListener at once.
func (l *relayListener) accept(connection netpoll.Connection) context.Context {
	c := &relayConn{listener: l, connection: connection, openedAt: time.Now()}
	c.lastCallAt.Store(c.openedAt.UnixNano())
	_ = connection.SetWriteTimeout(writeTimeout) // always returns nil
	_ = connection.AddCloseCallback(c.closed)    // always returns nil
	if l.open.Add(1) > maxConnsPerListener {
		c.close(metrics.ClosedByLimit, nil)
	} else {
		l.controller.post(func(ctl *Controller) { ctl.conns[c] = struct{}{} })
	}
	return context.WithValue(readahead.Context(connection), connKey{}, c)
}
