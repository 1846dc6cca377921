package scale

import "lichenroad/relay"

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	requestTimer    timerKind = iota // arrival of the next request
	attemptTimer                     // end of an attempt
	deadlineTimer                    // a request's client reaches its deadline and disconnects
	policyTimer                      // set by the decision code
	membershipTimer                  // set by the membership protocol
)

// timer is an event of one relay at a given time.
type timer struct {
	at            float64
	sequence      int64 // order in which the timers were set
	kind          timerKind
	attempt       int32         // only for an attemptTimer
	request       *request      // only for an attemptTimer or deadlineTimer
	policyTimerID relay.TimerID // only for a policyTimer
}

func (t *timer) isBefore(other *timer) bool {
	return t.at < other.at || (t.at == other.at && t.sequence < other.sequence)
}

// timers is a binary heap with the earliest timer on top. Timers for the same time are in the order in which they were set.
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

// popBefore removes and returns the earliest timer if it is due before end.
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
