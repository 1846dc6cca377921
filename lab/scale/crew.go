package scale

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// participant is played within a tick.
type participant interface{ advance(from, to float64) }

// crew are the threads that play relays beside each other.
type crew struct {
	jobs int
	work chan *round
}

// round is one tick's work.
type round struct {
	live     []participant
	from, to float64
	next     atomic.Int64
	done     sync.WaitGroup
}

const roundChunk = 8 // relays that a thread takes at a time

func newCrew(jobs int) *crew {
	c := &crew{jobs: jobs, work: make(chan *round)}
	for range jobs {
		go func() {
			runtime.LockOSThread() // processor time is counted by thread
			defer runtime.UnlockOSThread()
			for r := range c.work {
				r.play()
			}
		}()
	}
	return c
}

func (r *round) play() {
	defer r.done.Done()
	for {
		to := int(r.next.Add(roundChunk))
		for i := to - roundChunk; i < min(to, len(r.live)); i++ {
			r.live[i].advance(r.from, r.to)
		}
		if to >= len(r.live) {
			return
		}
	}
}

func (c *crew) advance(live []participant, from, to float64) {
	r := &round{live: live, from: from, to: to}
	r.done.Add(c.jobs)
	for range c.jobs {
		c.work <- r
	}
	r.done.Wait()
}

func (c *crew) dismiss() { close(c.work) }
