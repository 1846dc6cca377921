package scale

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// participant is played within a tick.
type participant interface{ advance(from, to float64) }

// crew are the threads that play relays beside each other.
type workerPool struct {
	workers int
	batches chan *batch
}

// round is one tick's work.
type batch struct {
	participants []participant
	from, to     float64
	next         atomic.Int64
	done         sync.WaitGroup
}

const batchChunk = 8 // relays that a thread takes at a time

func newWorkerPool(jobs int) *workerPool {
	c := &workerPool{workers: jobs, batches: make(chan *batch)}
	for range jobs {
		go func() {
			runtime.LockOSThread() // processor time is counted by thread
			defer runtime.UnlockOSThread()
			for r := range c.batches {
				r.run()
			}
		}()
	}
	return c
}

func (r *batch) run() {
	defer r.done.Done()
	for {
		to := int(r.next.Add(batchChunk))
		for i := to - batchChunk; i < min(to, len(r.participants)); i++ {
			r.participants[i].advance(r.from, r.to)
		}
		if to >= len(r.participants) {
			return
		}
	}
}

func (c *workerPool) advance(live []participant, from, to float64) {
	r := &batch{participants: live, from: from, to: to}
	r.done.Add(c.workers)
	for range c.workers {
		c.batches <- r
	}
	r.done.Wait()
}

func (c *workerPool) close() { close(c.batches) }
