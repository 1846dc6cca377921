package readahead

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"

	"lichenroad/internal/limits"
	"lichenroad/internal/sockets"
)

const (
	testTimeout = 10 * time.Second

	// maxUnread is how much input of a connection may wait for its read callback: the kernel doubles the receive buffer.
	maxUnread = 2 * limits.SocketReceiveBuffer

	floodBytes    = 32 << 20
	callbackDelay = 2 * time.Millisecond // of a read callback that gets no processor time
	slowCallbacks = 20                   // the first callbacks, which are late
)

// connection is a value that stands for a connection.
type connection struct{ netpoll.Connection }

// begin starts a read callback that returns when finish is closed. returned is closed when the poller continues.
func begin(r *runner, ctx context.Context) (finish, returned chan struct{}) {
	finish, returned = make(chan struct{}), make(chan struct{})
	started := make(chan struct{})
	go func() {
		defer close(returned)
		r.run(ctx, func() { close(started); <-finish })
	}()
	<-started
	return finish, returned
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func await(t *testing.T, done chan struct{}, what string) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for ", what)
	}
}

// TestPollerWaitsForTheCallback checks that a poller continues when its callback returns or its connection closes, and not
// when another connection closes.
func TestPollerWaitsForTheCallback(t *testing.T) {
	r := &runner{waiting: map[*callback]struct{}{}}
	closing, other := &connection{}, &connection{}
	finishClosing, closingReturned := begin(r, Context(closing))
	finishOther, otherReturned := begin(r, Context(other))
	finishDialed, dialedReturned := begin(r, context.Background())
	if isClosed(closingReturned) || isClosed(otherReturned) || isClosed(dialedReturned) {
		t.Fatal("a poller did not wait for its callback")
	}
	r.releaseConnection(closing)
	await(t, closingReturned, "the poller whose connection closes")
	if isClosed(otherReturned) || isClosed(dialedReturned) {
		t.Error("the close of a connection released the pollers of others")
	}
	r.releaseConnection(nil)
	await(t, dialedReturned, "the poller of a dialed connection")
	if isClosed(otherReturned) {
		t.Error("the close of a dialed connection released the poller of an accepted one")
	}
	close(finishOther)
	await(t, otherReturned, "the poller whose callback returned")
	close(finishClosing)
	close(finishDialed)
}

// flood writes floodBytes to a connection and closes it.
func flood(w io.WriteCloser) {
	part := make([]byte, 1<<20)
	for sent := 0; sent < floodBytes; sent += len(part) {
		if _, err := w.Write(part); err != nil {
			break
		}
	}
	w.Close()
}

// floodReader is a read callback that is late at first. It records the longest unread input.
type floodReader struct {
	calls     atomic.Int64
	maxUnread atomic.Int64
	total     atomic.Int64
	ended     chan struct{}
}

func (f *floodReader) read(_ context.Context, c netpoll.Connection) error {
	if f.calls.Add(1) < slowCallbacks {
		time.Sleep(callbackDelay)
	}
	reader := c.Reader()
	unread := reader.Len()
	f.maxUnread.Store(max(f.maxUnread.Load(), int64(unread)))
	f.total.Add(int64(unread))
	_ = reader.Skip(unread)
	return reader.Release()
}

// check waits for the end of the connection.
func (f *floodReader) check(t *testing.T) {
	t.Helper()
	await(t, f.ended, "the end of the connection")
	if f.total.Load() != floodBytes {
		t.Errorf("%d bytes were read, want %d", f.total.Load(), floodBytes)
	}
	if f.maxUnread.Load() > maxUnread {
		t.Errorf("%d bytes waited for the read callback, want at most %d", f.maxUnread.Load(), maxUnread)
	}
}

// TestUnreadInputOfAnAcceptedConnection guards against memory that grows with the speed of a client whose input is handled
// late.
func TestUnreadInputOfAnAcceptedConnection(t *testing.T) {
	Install()
	reader := &floodReader{ended: make(chan struct{})}
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events, err := netpoll.NewEventLoop(reader.read, netpoll.WithOnPrepare(func(c netpoll.Connection) context.Context {
		c.AddCloseCallback(func(c netpoll.Connection) error {
			Closing(c)
			close(reader.ended)
			return nil
		})
		return Context(c)
	}))
	if err != nil {
		t.Fatal(err)
	}
	go events.Serve(listener)
	t.Cleanup(func() { sockets.StopAccepting(listener) })
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	flood(client)
	reader.check(t)
}

// TestUnreadInputOfADialedConnection guards against the same for an endpoint's input.
func TestUnreadInputOfADialedConnection(t *testing.T) {
	Install()
	reader := &floodReader{ended: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := Dial(listener.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	c.AddCloseCallback(func(netpoll.Connection) error {
		Closing(nil)
		close(reader.ended)
		return nil
	})
	c.SetOnRequest(reader.read)
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	flood(server)
	reader.check(t)
}
