package scale

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// participant is a simulated relay. Participants are advanced in parallel, so each may change only its own state.
type participant interface {
	advance(from, to float64)
}

// workerPool has a fixed number of threads that advance participants. Only one goroutine may use it; close stops the workers.
type workerPool struct {
	workers int
	batches chan *batch
}

// batch is the work of one tick.
type batch struct {
	participants []participant
	from, to     float64
	next         atomic.Int64 // index of the first participant that no worker has claimed; may exceed their number
	done         sync.WaitGroup
}

// batchChunk is the number of participants that a worker claims at a time.
const batchChunk = 8

func newWorkerPool(workers int) *workerPool {
	p := &workerPool{workers: workers, batches: make(chan *batch)}
	for range workers {
		go p.work()
	}
	return p
}

// work processes batches until the pool is closed.
func (p *workerPool) work() {
	runtime.LockOSThread() // processor time is measured per thread
	defer runtime.UnlockOSThread()
	for b := range p.batches {
		b.run()
	}
}

// run claims and advances participants until none are left.
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

// advance advances all participants from one time to another and waits until they are done.
func (p *workerPool) advance(participants []participant, from, to float64) {
	b := &batch{participants: participants, from: from, to: to}
	b.done.Add(p.workers)
	for range p.workers {
		p.batches <- b
	}
	b.done.Wait()
}

func (p *workerPool) close() { close(p.batches) }
