package scale

import "lichenroad/relay"

// timerKind is what a timer is for.
type timerKind uint8

const (
	requestTimer    timerKind = iota // the next request arrives
	attemptTimer                     // an attempt ends
	deadlineTimer                    // a client gives up
	policyTimer                      // the decision code asked for it
	membershipTimer                  // the membership protocol did
)

// timer is something that happens at one relay at a time.
type timer struct {
	at            float64
	sequence      int64
	kind          timerKind
	attempt       int32
	request       *request
	policyTimerID relay.TimerID
}

func (t *timer) before(o *timer) bool {
	return t.at < o.at || t.at == o.at && t.sequence < o.sequence
}

// timers is a heap of timers, the earliest on top; of one time, the first set.
type timers struct {
	heap     []timer
	sequence int64
}

func (t *timers) set(x timer) {
	t.sequence++
	x.sequence = t.sequence
	t.heap = append(t.heap, x)
	for i := len(t.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.heap[i].before(&t.heap[parent]) {
			break
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// due takes the earliest timer off that is before a time.
func (t *timers) due(until float64) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at >= until {
		return timer{}, false
	}
	top, last := t.heap[0], len(t.heap)-1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer{}
	t.heap = t.heap[:last]
	for i := 0; ; {
		lowest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if t.heap[child].before(&t.heap[lowest]) {
				lowest = child
			}
		}
		if lowest == i {
			return top, true
		}
		t.heap[i], t.heap[lowest] = t.heap[lowest], t.heap[i]
		i = lowest
	}
}
