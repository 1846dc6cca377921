// Package buffer holds bytes in pooled buffers of one size. A Chain uses as many buffers as a message needs. A Pool counts
// the bytes in use and divides them among the senders of messages: a message that is received reserves its memory at its
// beginning (intake.go). A Pool is safe for concurrent use; a Chain must be used by one
// goroutine at a time. The package imports only the standard library.
package buffer

import (
	"container/list"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Size is the size of a buffer in bytes. Nearly all requests and responses fit into one buffer, and an empty send buffer of
// a socket accepts this much at once.
const Size = 4096

// Pool provides buffers to chains and counts the bytes in use.
type Pool struct {
	free  sync.Pool    // of *[Size]byte
	inUse atomic.Int64 // bytes in buffers that chains hold, or reserved for messages
	// received is the part of inUse that messages have reserved.
	received atomic.Int64
	limit    int64
	now      func() time.Time // monotonic

	mu       sync.Mutex // guards incoming and the chains of its elements
	incoming list.List  // *Incoming: the incomplete messages that are not short, the longest incomplete first
}

// NewPool returns a pool in which messages may reserve limit bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit, now: time.Now} }

// Limit returns the number of bytes that messages may reserve. Responses may exceed it.
func (p *Pool) Limit() int64 { return p.limit }

// InUse returns the number of bytes in use or reserved, counted in whole buffers.
func (p *Pool) InUse() int64 { return p.inUse.Load() }

// Chain returns an empty chain.
func (p *Pool) Chain() *Chain { return &Chain{pool: p} }

// CopyChain returns an empty chain for the copy of a message that Receive has reserved memory for. Its buffers are not counted.
func (p *Pool) CopyChain() *Chain { return &Chain{pool: p, prepaid: math.MaxInt} }

// Filled returns a chain that holds a copy of data.
func (p *Pool) Filled(data []byte) *Chain {
	c := p.Chain()
	c.append(data)
	return c
}

func (p *Pool) get() *[Size]byte {
	if buffer, ok := p.free.Get().(*[Size]byte); ok {
		return buffer
	}
	return new([Size]byte)
}

func (p *Pool) put(buffer *[Size]byte) { p.free.Put(buffer) }

// Chain is a sequence of bytes in buffers of a pool. It must be used by one goroutine at a time, and freed after use.
type Chain struct {
	pool     *Pool
	buffers  []*[Size]byte // all full but the last
	length   int
	reserved int64 // bytes of the pool that it uses
	received int64 // the part of them that was reserved for a message
	prepaid  int   // number of buffers that it may take without using more
}

// Len returns the length of the chain in bytes.
func (c *Chain) Len() int { return c.length }

// Write appends data. It implements io.Writer and never fails.
func (c *Chain) Write(data []byte) (int, error) {
	c.append(data)
	return len(data), nil
}

func (c *Chain) append(data []byte) {
	for len(data) > 0 {
		offset := c.length % Size
		if offset == 0 {
			c.addBuffer()
		}
		copied := copy(c.buffers[len(c.buffers)-1][offset:], data)
		c.length += copied
		data = data[copied:]
	}
}

// addBuffer takes another buffer from the pool.
func (c *Chain) addBuffer() {
	if len(c.buffers) >= c.prepaid {
		c.reserved += Size
		c.pool.inUse.Add(Size)
	}
	c.buffers = append(c.buffers, c.pool.get())
}

// Append appends a copy of the bytes of another chain from offset start up to but not including offset end.
func (c *Chain) Append(from *Chain, start, end int) {
	for start < end {
		offset := start % Size
		stop := min(Size, offset+end-start)
		c.append(from.buffers[start/Size][offset:stop])
		start += stop - offset
	}
}

// Each calls visit with the bytes in each buffer, in order. It stops at the first error and returns it.
func (c *Chain) Each(visit func([]byte) error) error {
	for i := range c.buffers {
		if err := visit(c.bufferContent(i)); err != nil {
			return err
		}
	}
	return nil
}

// bufferContent returns the bytes in buffer i.
func (c *Chain) bufferContent(i int) []byte { return c.buffers[i][:min(Size, c.length-i*Size)] }

// Bytes returns the whole content as one slice: the buffer itself if the chain has only one, otherwise a copy. The slice is
// valid until the chain is freed. It is nil if the chain is empty.
func (c *Chain) Bytes() []byte { return c.BytesIn(nil) }

// BytesIn is like Bytes, but makes the copy in a slice of length 0 if that has the capacity.
func (c *Chain) BytesIn(space []byte) []byte {
	switch len(c.buffers) {
	case 0:
		return nil
	case 1:
		return c.bufferContent(0)
	}
	all := slices.Grow(space, c.length)
	for i := range c.buffers {
		all = append(all, c.bufferContent(i)...)
	}
	return all
}

// Free returns the buffers to the pool. Freeing a nil or already freed chain has no effect.
func (c *Chain) Free() {
	if c == nil {
		return
	}
	for _, buffer := range c.buffers {
		c.pool.put(buffer)
	}
	c.pool.inUse.Add(-c.reserved)
	c.pool.received.Add(-c.received)
	c.buffers, c.length, c.reserved, c.received, c.prepaid = nil, 0, 0, 0, 0
}
