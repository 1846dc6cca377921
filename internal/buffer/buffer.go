// Package buffer holds bytes in pooled buffers of one size. A Chain strings together as many as a message needs; a Pool
// counts the bytes in use and says when its bound is reached. A Pool is safe for use by several goroutines, a Chain belongs
// to one at a time. The package imports the standard library alone.
package buffer

import (
	"sync"
	"sync/atomic"
)

// Size of every buffer, in bytes: nearly all requests and responses fit one, and a socket's empty send buffer takes that
// much at once.
const Size = 4096

// Pool hands out buffers and counts them.
type Pool struct {
	free  sync.Pool    // of *[Size]byte
	inUse atomic.Int64 // bytes of the buffers handed out
	bound int64
}

// NewPool returns a pool that is full when bound bytes are in use.
func NewPool(bound int64) *Pool { return &Pool{bound: bound} }

// Full says whether no more requests should be admitted. Those under way may still exceed the bound a little.
func (p *Pool) Full() bool { return p.inUse.Load() >= p.bound }

// InUse returns how many bytes are in use, counted by whole buffers.
func (p *Pool) InUse() int64 { return p.inUse.Load() }

// Chain returns an empty chain.
func (p *Pool) Chain() *Chain { return &Chain{pool: p} }

// Filled returns a chain that holds a copy of data.
func (p *Pool) Filled(data []byte) *Chain {
	c := p.Chain()
	c.append(data)
	return c
}

func (p *Pool) get() *[Size]byte {
	p.inUse.Add(Size)
	if buffer, ok := p.free.Get().(*[Size]byte); ok {
		return buffer
	}
	return new([Size]byte)
}

func (p *Pool) put(buffer *[Size]byte) {
	p.inUse.Add(-Size)
	p.free.Put(buffer)
}

// Chain is a run of bytes in buffers of a pool. It belongs to one goroutine at a time, which frees it when it is done.
type Chain struct {
	pool    *Pool
	buffers []*[Size]byte // all full but the last
	length  int
}

// Len returns the number of bytes held.
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
			c.buffers = append(c.buffers, c.pool.get())
		}
		copied := copy(c.buffers[len(c.buffers)-1][offset:], data)
		c.length += copied
		data = data[copied:]
	}
}

// Append copies the bytes of another chain from offset start up to, not including, offset end.
func (c *Chain) Append(from *Chain, start, end int) {
	for start < end {
		offset := start % Size
		stop := min(Size, offset+end-start)
		c.append(from.buffers[start/Size][offset:stop])
		start += stop - offset
	}
}

// Each calls visit for the parts in turn, and returns the first error.
func (c *Chain) Each(visit func([]byte) error) error {
	for i := range c.buffers {
		if err := visit(c.part(i)); err != nil {
			return err
		}
	}
	return nil
}

// part is what buffer i holds.
func (c *Chain) part(i int) []byte { return c.buffers[i][:min(Size, c.length-i*Size)] }

// Bytes returns all bytes in one piece: the buffer itself where one holds them, else a copy. It is valid until the chain
// is freed, and nil if the chain is empty.
func (c *Chain) Bytes() []byte {
	switch len(c.buffers) {
	case 0:
		return nil
	case 1:
		return c.part(0)
	}
	all := make([]byte, 0, c.length)
	for i := range c.buffers {
		all = append(all, c.part(i)...)
	}
	return all
}

// Free gives the buffers back. A nil or freed chain may be freed again.
func (c *Chain) Free() {
	if c == nil {
		return
	}
	for _, buffer := range c.buffers {
		c.pool.put(buffer)
	}
	c.buffers, c.length = nil, 0
}
