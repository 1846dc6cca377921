package buffer

import (
	"container/list"
	"time"
)

// The shares of a pool. A sender with one message that fits into one buffer may use the whole pool, whatever else than messages
// that were received is in it. Longer messages may use only a part of the pool, and further messages of the same sender a smaller
// one. Both must leave room for several of their kind, so that the largest senders are turned away first.
const (
	longShare        = 0.75 // fraction of the pool that a long message may use
	furtherShare     = 0.5  // fraction of the pool that further messages of a sender may use
	roomFactor       = 4    // number of messages of its size for which a message must leave room
	stalledAfter     = 100 * time.Millisecond
	copiesPerMessage = 2 // a message and the copy that is forwarded
)

// Incoming is a message that is being received. While it is incomplete, the pool may take its memory away for another one, if
// it began long before that: senders write a message at once. Write and the function that ends it, Complete or Free, must be
// used by one goroutine.
type Incoming struct {
	pool    *Pool
	chain   *Chain        // guarded by pool.mu if element is not nil; nil if the memory was taken away, or after Complete
	element *list.Element // in pool.incoming; nil for a short message, which is never taken away
	beganAt time.Time
}

// Receive reserves memory for a message of a length, and for the copy of it that is forwarded. held is the number of messages
// that the sender already has in the pool. It returns nil if there is no room: then the message has to be discarded.
func (p *Pool) Receive(length, held int) *Incoming {
	buffers := max(1, (length+Size-1)/Size)
	cost := int64(buffers) * Size * copiesPerMessage
	isShort := buffers == 1
	if !p.reserve(cost, held, isShort) {
		return nil
	}
	incoming := &Incoming{pool: p, chain: &Chain{pool: p, reserved: cost, received: cost, prepaid: buffers}}
	if !isShort {
		p.mu.Lock()
		defer p.mu.Unlock()
		incoming.beganAt = p.now()
		incoming.element = p.incoming.PushBack(incoming)
	}
	return incoming
}

// reserve adds the cost of a message to the bytes in use if the share of its kind has room, if need be after taking the
// memory of incomplete messages away.
func (p *Pool) reserve(cost int64, held int, isShort bool) bool {
	for !p.tryReserve(cost, held, isShort) {
		if isShort || !p.takeStalled() {
			return false
		}
	}
	return true
}

// tryReserve adds the cost of a message to the bytes in use if the share of its kind has room.
func (p *Pool) tryReserve(cost int64, held int, isShort bool) bool {
	inUse, received := p.inUse.Add(cost), p.received.Add(cost)
	room := cost * roomFactor * int64(1+held)
	var fits bool
	switch {
	case held > 0:
		fits = inUse-cost+room <= int64(furtherShare*float64(p.limit))
	case !isShort:
		fits = inUse-cost+room <= int64(longShare*float64(p.limit))
	default:
		fits = received <= p.limit
	}
	if !fits {
		p.inUse.Add(-cost)
		p.received.Add(-cost)
	}
	return fits
}

// takeStalled takes away the memory of the message that has been incomplete for longest, and reports whether there was one.
func (p *Pool) takeStalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.incoming.Front()
	if oldest == nil || p.now().Sub(oldest.Value.(*Incoming).beganAt) < stalledAfter {
		return false
	}
	oldest.Value.(*Incoming).take()
	return true
}

// take frees the memory of an incomplete message. The caller holds pool.mu.
func (i *Incoming) take() {
	i.chain.Free()
	i.chain = nil
	i.pool.incoming.Remove(i.element)
}

// Write appends data, or discards it if the memory was taken away.
func (i *Incoming) Write(data []byte) {
	if i.element != nil {
		i.pool.mu.Lock()
		defer i.pool.mu.Unlock()
	}
	if i.chain != nil {
		i.chain.append(data)
	}
}

// Complete ends the receipt and returns the message, which the caller has to free, or nil if its memory was taken away.
func (i *Incoming) Complete() *Chain {
	if i.element != nil {
		i.pool.mu.Lock()
		defer i.pool.mu.Unlock()
		if i.chain != nil {
			i.pool.incoming.Remove(i.element)
		}
	}
	chain := i.chain
	i.chain = nil
	return chain
}

// Free ends the receipt of a message that will not be completed. It has no effect on nil or after Complete.
func (i *Incoming) Free() {
	if i != nil {
		i.Complete().Free()
	}
}
