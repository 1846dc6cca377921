// Package buffer holds bytes in pooled buffers of one size. A Chain strings as many together as a message
// needs; a Pool counts what is out and says when its bound is reached.
package buffer

import (
	"sync"
	"sync/atomic"
)

// Size of every buffer, in bytes: nearly all queries and answers fit one, and a socket's empty send buffer
// takes that much at once.
const Size = 4096

// Pool hands out buffers up to a bound.
type Pool struct {
	free  sync.Pool
	out   atomic.Int64
	bound int64
}

// NewPool returns a pool that is full when bound bytes are out.
func NewPool(bound int64) *Pool { return &Pool{bound: bound} }

// Full says that no more should be taken in. What is under way may still go over the bound by a little.
func (p *Pool) Full() bool { return p.out.Load() >= p.bound }

// Out is how many bytes are out.
func (p *Pool) Out() int64 { return p.out.Load() }

// Chain starts an empty chain.
func (p *Pool) Chain() *Chain { return &Chain{pool: p} }

// Filled starts a chain that holds a copy of b.
func (p *Pool) Filled(b []byte) *Chain {
	c := p.Chain()
	c.Write(b)
	return c
}

func (p *Pool) get() *[Size]byte {
	p.out.Add(Size)
	if b, ok := p.free.Get().(*[Size]byte); ok {
		return b
	}
	return new([Size]byte)
}

// Chain is a run of bytes in buffers of the pool. It belongs to one goroutine at a time.
type Chain struct {
	pool *Pool
	bufs []*[Size]byte
	n    int
}

// Len is the number of bytes held.
func (c *Chain) Len() int { return c.n }

// Write appends; it never fails.
func (c *Chain) Write(p []byte) (int, error) {
	total := len(p)
	for len(p) > 0 {
		at := c.n % Size
		if at == 0 {
			c.bufs = append(c.bufs, c.pool.get())
		}
		k := copy(c.bufs[len(c.bufs)-1][at:], p)
		c.n += k
		p = p[k:]
	}
	return total, nil
}

// Append copies the bytes of another chain from one offset up to another.
func (c *Chain) Append(from *Chain, start, end int) {
	for start < end {
		at := start % Size
		stop := min(Size, at+end-start)
		c.Write(from.bufs[start/Size][at:stop])
		start += stop - at
	}
}

// Each calls f for the parts in turn until one fails.
func (c *Chain) Each(f func([]byte) error) error {
	for i, b := range c.bufs {
		if err := f(b[:min(Size, c.n-i*Size)]); err != nil {
			return err
		}
	}
	return nil
}

// Bytes gives all bytes in one piece: the buffer itself where one holds them, else a copy. It is good until
// the chain is freed.
func (c *Chain) Bytes() []byte {
	if len(c.bufs) <= 1 {
		if c.n == 0 {
			return nil
		}
		return c.bufs[0][:c.n]
	}
	all := make([]byte, 0, c.n)
	for i, b := range c.bufs {
		all = append(all, b[:min(Size, c.n-i*Size)]...)
	}
	return all
}

// Free gives the buffers back. A nil or freed chain may be freed again.
func (c *Chain) Free() {
	if c == nil {
		return
	}
	for _, b := range c.bufs {
		c.pool.out.Add(-Size)
		c.pool.free.Put(b)
	}
	c.bufs, c.n = nil, 0
}
