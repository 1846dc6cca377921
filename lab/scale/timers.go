package scale

import "lichenroad/relay"

// timerKind is what a timer is for.
type timerKind uint8

const (
	requestTimer    timerKind = iota // the next request arrives
	attemptTimer                     // an attempt ends
	deadlineTimer                    // a request's client disconnects
	policyTimer                      // the decision code set it
	membershipTimer                  // the membership protocol set it
)

// timer is an event of one relay that is due at a time.
type timer struct {
	at            float64
	sequence      int64 // in the order of setting
	kind          timerKind
	attempt       int32         // of an attemptTimer
	request       *request      // of an attemptTimer or deadlineTimer
	policyTimerID relay.TimerID // of a policyTimer
}

func (t *timer) isBefore(other *timer) bool {
	return t.at < other.at || (t.at == other.at && t.sequence < other.sequence)
}

// timers is a binary heap of timers, the earliest on top; of those due at one time, the one set first.
type timers struct {
	heap     []timer
	sequence int64
}

// set adds a timer.
func (t *timers) set(added timer) {
	t.sequence++
	added.sequence = t.sequence
	t.heap = append(t.heap, added)
	for i := len(t.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.heap[i].isBefore(&t.heap[parent]) {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// popBefore removes and returns the earliest timer if it is due before a time.
func (t *timers) popBefore(end float64) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at >= end {
		return timer{}, false
	}
	earliest := t.heap[0]
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer{}
	t.heap = t.heap[:last]
	t.siftDown()
	return earliest, true
}

// siftDown restores the order of the heap after its top was replaced.
func (t *timers) siftDown() {
	for i := 0; ; {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if t.heap[child].isBefore(&t.heap[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		t.heap[i], t.heap[earliest] = t.heap[earliest], t.heap[i]
		i = earliest
	}
}
