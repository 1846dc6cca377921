package main

import (
	"fmt"
	"math"

	"lichenroad/policy"
	"lichenroad/relay"
	"lichenroad/settings"
	"lichenroad/simwire"
)

const (
	maxLists             = 1 << 16 // bound on list numbers
	nanosecondsPerSecond = 1e9
)

// instance is a relay in the simulation, with its decision module.
type instance struct {
	number    uint16 // number of the instance on the wire
	module    *policy.Policy
	startedAt uint64        // ns of the simulator's clock
	events    []relay.Event // events from the present batch
	queued    bool          // has events from the present batch and was not stopped after them
	failed    bool          // its module has panicked, so it is not stepped any more
}

// seconds converts a time of the simulator's clock into the module's time, which counts from the start of the instance.
func (in *instance) seconds(clock uint64) float64 {
	return float64(int64(clock-in.startedAt)) / nanosecondsPerSecond
}

// clock converts a module time into a time of the simulator's clock. It rounds up so that a timer never fires too early.
func (in *instance) clock(at float64) uint64 {
	elapsed := math.Ceil(at * nanosecondsPerSecond)
	if !(elapsed > 0) { // NaN counts as the start, too
		return in.startedAt
	}
	return in.startedAt + uint64(elapsed)
}

// host runs the instances.
type host struct {
	out       *simwire.Writer
	instances map[uint16]*instance
	queue     []*instance       // instances with events, in the order of their first event in the batch
	lists     [][]simwire.Entry // indexed by list number
}

// handleBatch groups the events of a batch by instance, then steps each of these instances once.
func (h *host) handleBatch(clock uint64, events []simwire.Event) error {
	for i := range events {
		if err := h.handleEvent(clock, &events[i]); err != nil {
			return err
		}
	}
	for _, in := range h.queue {
		if in.queued {
			h.step(in, clock)
		}
	}
	h.queue = h.queue[:0]
	return nil
}

func (h *host) handleEvent(clock uint64, e *simwire.Event) error {
	switch e.Code {
	case simwire.EventList:
		return h.storeList(e)
	case simwire.EventStart:
		return h.startInstance(clock, e)
	case simwire.EventStop:
		h.stopInstance(e.Instance)
	default:
		if in := h.instances[e.Instance]; in != nil { // events for a stopped instance are dropped
			h.enqueue(in, e)
		}
	}
	return nil
}

func (h *host) storeList(e *simwire.Event) error {
	if e.List >= maxLists {
		return fmt.Errorf("%w: list number %d, the maximum is %d", simwire.ErrMalformed, e.List, maxLists-1)
	}
	for len(h.lists) <= int(e.List) {
		h.lists = append(h.lists, nil)
	}
	h.lists[e.List] = e.Entries
	return nil
}

// startInstance starts an instance. A running instance with the same number is stopped first.
func (h *host) startInstance(clock uint64, e *simwire.Event) error {
	h.stopInstance(e.Instance)
	parsed, err := settings.Parse(e.Body)
	if err != nil {
		return err
	}
	h.instances[e.Instance] = &instance{
		number:    e.Instance,
		startedAt: clock,
		module:    policy.New(parsed.Settings, int64(e.Seed)),
	}
	return nil
}

// stopInstance removes an instance and drops its events from the present batch.
func (h *host) stopInstance(number uint16) {
	if in := h.instances[number]; in != nil {
		in.queued = false
		delete(h.instances, number)
	}
}

func (h *host) enqueue(in *instance, e *simwire.Event) {
	if !in.queued {
		in.queued = true
		h.queue = append(h.queue, in)
	}
	in.events = append(in.events, h.event(in, e))
}

// step steps an instance with the events collected for it. If its module panics, the failure is reported to the simulator and
// the instance is not stepped any more.
func (h *host) step(in *instance, clock uint64) {
	if in.failed {
		return
	}
	defer func() {
		if reason := recover(); reason != nil {
			in.failed = true
			h.out.Fault(in.number, fmt.Sprint("the module broke: ", reason))
		}
		in.events, in.queued = in.events[:0], false
	}()
	for _, command := range in.module.Step(in.seconds(clock), in.events) {
		h.write(in, command)
	}
}
