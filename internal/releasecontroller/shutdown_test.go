package releasecontroller

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"lichenroad/rollout"
)

// TestCommandOfTheLastRoundGetsItsReply guards against an operator who is told that a command failed although it was carried out in
// the round in which the controller ended.
func TestCommandOfTheLastRoundGetsItsReply(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the caller sees the reply and the end at the same time
	for range 200 {
		ctl := &Controller{calls: make(chan func(*Controller)), done: make(chan struct{}), core: rollout.New(testPlan(t)), clock: func() float64 { return 1 }}
		replied := make(chan Reply)
		go func() { replied <- ctl.handle(Request{Verb: VerbStatus}) }()
		runtime.Gosched() // until it waits for the loop to take the call
		(<-ctl.calls)(ctl)
		for _, reply := range ctl.pendingReplies {
			reply()
		}
		close(ctl.done)
		if reply := <-replied; reply.Error != "" {
			t.Fatal("a command that was carried out got the error:", reply.Error)
		}
	}
}

// TestRepliesAreWrittenBeforeTheEnd guards against a controller that ends with replies to relays unwritten.
func TestRepliesAreWrittenBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	connection, err := netpoll.DialConnection("tcp", listener.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &relayConn{connection: connection, openedAt: time.Now()}
	ctl := &Controller{log: log, done: make(chan struct{}), conns: map[*relayConn]struct{}{c: {}}}
	c.writerRunning = true // it gets no processor time yet
	c.send("OK\r\n")
	ended := make(chan struct{})
	go func() { ctl.shutdown(); close(ended) }()
	select {
	case <-ended:
		t.Error("ended with a reply that is not written")
	case <-time.After(20 * time.Millisecond):
	}
	c.writeQueue()
	<-ended
	if got, err := io.ReadAll(peer); string(got) != "OK\r\n" || err != nil {
		t.Errorf("the peer read %q, error %v", got, err)
	}
}
