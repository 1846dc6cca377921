package buffer

import (
	"bytes"
	"testing"
	"time"
)

const (
	poolBuffers = 1000
	large       = 20 * Size
)

// newTestPool returns a pool and a function that lets time pass for it.
func newTestPool() (pool *Pool, wait func(time.Duration)) {
	pool = NewPool(poolBuffers * Size)
	now := time.Now()
	pool.now = func() time.Time { return now }
	return pool, func(d time.Duration) { now = now.Add(d) }
}

// receiveAll receives messages of a length and completes them until there is no room.
func receiveAll(t *testing.T, pool *Pool, length, held int) (received []*Chain) {
	t.Helper()
	for incoming := pool.Receive(length, held); incoming != nil; incoming = pool.Receive(length, held) {
		incoming.Write(make([]byte, length))
		received = append(received, incoming.Complete())
		if len(received) > poolBuffers {
			t.Fatal("a pool of 1000 buffers has room for more than 1000 messages")
		}
	}
	return received
}

// TestLargeMessagesLeaveRoomForShortOnes guards against large messages, and short ones of senders that have others in hand, that
// take the memory of senders with a single short message.
func TestLargeMessagesLeaveRoomForShortOnes(t *testing.T) {
	for name, fill := range map[string]func(pool *Pool){
		"large messages":  func(pool *Pool) { receiveAll(t, pool, large, 0) },
		"middle messages": func(pool *Pool) { receiveAll(t, pool, 2*Size, 0) },
		"many of a kind":  func(pool *Pool) { receiveAll(t, pool, Size, 1) },
		"all of them": func(pool *Pool) {
			receiveAll(t, pool, large, 0)
			receiveAll(t, pool, 2*Size, 0)
			receiveAll(t, pool, 1, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			pool, _ := newTestPool()
			fill(pool)
			if pool.InUse() < poolBuffers*Size*2/5 {
				t.Errorf("only %d of %d bytes are in use", pool.InUse(), pool.Limit())
			}
			single := receiveAll(t, pool, Size, 0)
			if want := int((1 - longShare) * poolBuffers / copiesPerMessage); len(single) < want {
				t.Errorf("room for %d single short messages, want %d", len(single), want)
			}
			if pool.InUse() > pool.Limit() {
				t.Errorf("%d bytes in use, the limit is %d", pool.InUse(), pool.Limit())
			}
		})
	}
}

// TestLargestSendersAreTurnedAwayFirst guards against senders of the largest messages, or of most, that leave no room for others.
func TestLargestSendersAreTurnedAwayFirst(t *testing.T) {
	pool, _ := newTestPool()
	receiveAll(t, pool, large, 0)
	if incoming := pool.Receive(2*Size, 0); incoming == nil {
		t.Error("no room for a smaller message")
	}
	if incoming := pool.Receive(2*Size, 15); incoming != nil {
		t.Error("room for a sender with 15 messages in hand")
	}
}

// TestStalledMessageMakesRoom guards against incomplete messages that keep the memory that others need.
func TestStalledMessageMakesRoom(t *testing.T) {
	pool, wait := newTestPool()
	var stalled []*Incoming
	for incoming := pool.Receive(large, 0); incoming != nil; incoming = pool.Receive(large, 0) {
		incoming.Write(make([]byte, large/2))
		stalled = append(stalled, incoming)
	}
	inUse := pool.InUse()
	wait(stalledAfter)
	incoming := pool.Receive(large, 0)
	if incoming == nil {
		t.Fatal("no room though all other messages stall")
	}
	for _, i := range []int{0, 1} {
		stalled[i].Write(make([]byte, large/2))
	}
	if chain := stalled[0].Complete(); chain != nil {
		t.Error("the message that stalled for longest was not taken away")
	}
	if chain := stalled[1].Complete(); chain == nil || chain.Len() != large {
		t.Error("more was taken away than was needed")
	} else {
		chain.Free()
	}
	content := bytes.Repeat([]byte("x"), large)
	incoming.Write(content)
	if chain := incoming.Complete(); !bytes.Equal(chain.Bytes(), content) {
		t.Error("the message that got the room is not whole")
	} else {
		chain.Free()
	}
	for _, incoming := range stalled[2:] {
		incoming.Free()
	}
	if inUse == 0 || pool.InUse() != 0 || pool.incoming.Len() != 0 {
		t.Errorf("%d bytes and %d messages are left", pool.InUse(), pool.incoming.Len())
	}
}

// TestCopyIsPaidByItsMessage guards against counting the copy of a message that is forwarded twice.
func TestCopyIsPaidByItsMessage(t *testing.T) {
	pool, _ := newTestPool()
	incoming := pool.Receive(large, 0)
	incoming.Write(make([]byte, large))
	body := incoming.Complete()
	before := pool.InUse()
	forwarded := pool.CopyChain()
	forwarded.Append(body, 0, body.Len())
	if pool.InUse() != before || before != copiesPerMessage*large {
		t.Errorf("%d bytes in use with the copy, %d before", pool.InUse(), before)
	}
	forwarded.Free()
	body.Free()
	if pool.InUse() != 0 {
		t.Errorf("%d bytes are left", pool.InUse())
	}
}

// TestResponsesLeaveRoomForShortMessages guards against clients that do not read their responses and keep others from being served.
func TestResponsesLeaveRoomForShortMessages(t *testing.T) {
	pool, _ := newTestPool()
	responses := pool.Filled(make([]byte, 2*poolBuffers*Size))
	if pool.Receive(Size, 0) == nil {
		t.Error("no room for a single short message")
	}
	if pool.Receive(large, 0) != nil {
		t.Error("room for a large message though the pool is over its limit")
	}
	responses.Free()
	if pool.Receive(large, 0) == nil {
		t.Error("no room for a large message")
	}
}
