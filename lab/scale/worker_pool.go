package scale

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// participant is simulated within a tick. Several are advanced in parallel, so each changes nothing but itself.
type participant interface {
	advance(from, to float64)
}

// workerPool is a fixed number of threads that advance participants. It is used by one goroutine; close ends the workers.
type workerPool struct {
	workers int
	batches chan *batch
}

// batch is the work of one tick.
type batch struct {
	participants []participant
	from, to     float64
	next         atomic.Int64 // index of the first participant that no worker has taken
	done         sync.WaitGroup
}

// batchChunk is how many participants a worker takes at a time.
const batchChunk = 8

func newWorkerPool(workers int) *workerPool {
	p := &workerPool{workers: workers, batches: make(chan *batch)}
	for range workers {
		go p.work()
	}
	return p
}

// work runs batches until the pool is closed.
func (p *workerPool) work() {
	runtime.LockOSThread() // processor time is counted by thread
	defer runtime.UnlockOSThread()
	for b := range p.batches {
		b.run()
	}
}

// run advances participants until none is left.
func (b *batch) run() {
	defer b.done.Done()
	for {
		end := int(b.next.Add(batchChunk))
		for i := end - batchChunk; i < min(end, len(b.participants)); i++ {
			b.participants[i].advance(b.from, b.to)
		}
		if end >= len(b.participants) {
			return
		}
	}
}

// advance advances all participants by a tick and returns when they are done.
func (p *workerPool) advance(participants []participant, from, to float64) {
	b := &batch{participants: participants, from: from, to: to}
	b.done.Add(p.workers)
	for range p.workers {
		p.batches <- b
	}
	b.done.Wait()
}

func (p *workerPool) close() { close(p.batches) }
