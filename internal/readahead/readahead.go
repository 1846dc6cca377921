// Package readahead keeps netpoll from reading ahead of the callbacks that handle the input of connections.
//
// netpoll's poller reads a socket whenever it has input, whether or not the connection's read callback has handled what
// was read before. On a busy processor the callback of a fast peer starts milliseconds late, and megabytes have been read
// by then. With Install the poller waits for each read callback that it starts. Further input stays in the socket's
// receive buffer, which Listen and Dial bound, and TCP slows the peer down.
//
// A read callback must not wait for anything that needs the poller, such as a write. Each connection with a read callback
// needs a close callback that calls Closing. Connections without a read callback, on which a goroutine waits for input, are
// still read ahead. The package's only state are the read callbacks in progress; its functions are safe for concurrent use.
// It imports netpoll, with the goroutine pool on which netpoll runs callbacks by default, internal/limits and
// internal/sockets.
package readahead

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bytedance/gopkg/util/gopool"
	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/sockets"
)

// maxYields is how often a poller that Closing(nil) has released lets other goroutines run while its callback is still in
// progress. The callback of another connection is over after one or two turns.
const maxYields = 64

// connectionKey is the context key for the netpoll.Connection of a read callback.
type connectionKey struct{}

// callback is a read callback in progress, for which a poller waits.
type callback struct {
	connection netpoll.Connection // nil for a dialed connection
	released   chan struct{}      // closed when the poller need not wait any longer
	returned   atomic.Bool
}

// runner runs read callbacks.
type runner struct {
	mu      sync.Mutex
	waiting map[*callback]struct{} // the callbacks that were not released yet
}

// netpollRunner is the runner of the process: netpoll has only one.
var netpollRunner = runner{waiting: map[*callback]struct{}{}}

// install is Install; it has an effect once.
var install = sync.OnceFunc(func() {
	_ = netpoll.Configure(netpoll.Config{Runner: netpollRunner.run}) // fails only for a number of pollers, which is not set
})

// Install makes netpoll's pollers wait for the read callbacks of all connections. It must be called before the first
// connection gets a read callback; further calls have no effect.
func Install() { install() }

// Dial opens a TCP connection whose receive buffer is bounded. The returned error is netpoll's.
func Dial(address string, timeout time.Duration) (netpoll.Connection, error) {
	connection, err := netpoll.DialConnection("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	if socket, ok := connection.(netpoll.Conn); ok {
		_ = sockets.SetReceiveBuffer(socket.Fd(), limits.SocketReceiveBuffer) // never fails for an open socket
	}
	return connection, nil
}

// Listen listens on a TCP address. The receive buffers of its connections are bounded. The returned error is that of the
// socket.
func Listen(address string) (net.Listener, error) {
	return sockets.Listen(address, limits.SocketReceiveBuffer)
}

// Context returns the context that netpoll's OnPrepare callback must return, or derive another one from, for a connection
// that was accepted.
func Context(connection netpoll.Connection) context.Context {
	return context.WithValue(context.Background(), connectionKey{}, connection)
}

// Closing must be called first in the close callback of each connection that has a read callback. netpoll closes a
// connection on the goroutine of its read callback, if that is in progress, and waits there until the poller is done with
// the connection, so the poller must not wait for that goroutine. It waits in a close callback of its own, which runs after
// those that were added later.
//
// connection is nil for a dialed connection, to which netpoll gives no context. It is then not known which callback must be
// released: the pollers go on from those of all dialed connections, after giving them time to return.
func Closing(connection netpoll.Connection) {
	netpollRunner.releaseConnection(connection)
}

// run is netpoll's runner: it runs a read callback on another goroutine and waits until it has returned or was released.
func (r *runner) run(ctx context.Context, read func()) {
	connection, _ := ctx.Value(connectionKey{}).(netpoll.Connection)
	c := &callback{connection: connection, released: make(chan struct{})}
	r.mu.Lock()
	r.waiting[c] = struct{}{}
	r.mu.Unlock()
	gopool.CtxGo(ctx, func() {
		defer r.returned(c)
		read()
	})
	<-c.released
	if connection != nil {
		return
	}
	for yields := 0; yields < maxYields && !c.returned.Load(); yields++ {
		runtime.Gosched()
	}
}

// returned handles the return of a callback.
func (r *runner) returned(c *callback) {
	c.returned.Store(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(c)
}

// releaseConnection releases the callbacks of a connection, or those of all dialed connections if it is nil.
func (r *runner) releaseConnection(connection netpoll.Connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.waiting {
		if c.connection == connection {
			r.release(c)
		}
	}
}

// release lets the poller that waits for a callback continue. The caller holds mu.
func (r *runner) release(c *callback) {
	if _, waiting := r.waiting[c]; waiting {
		delete(r.waiting, c)
		close(c.released)
	}
}
