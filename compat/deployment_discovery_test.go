package compat_test

import "slices"

// Kinds of endpoint list updates, as on the wire.
const (
	listFailed = iota + 1
	listCached
	listDelta
	listFull
)

// addList adds a list update for an instance; kind is one of listFailed to listFull. Except for a failed call, it first adds
// the numbered list that the update refers to.
func (d *deployment) addList(instance *hostedInstance, kind byte, endpoints []*listedEndpoint) {
	number := d.nextListNumber % 16
	if kind != listFailed {
		d.nextListNumber++
		list := event(eventList).u32(number).u32(uint32(len(endpoints)))
		for _, endpoint := range endpoints {
			list = list.u16(endpoint.zone).u16(endpoint.machineType).u16(endpoint.failureDomain).f32(float32(endpoint.build)).f32(endpoint.weight).u8(endpoint.state).u64(endpoint.startedAt).address(endpoint.address)
		}
		d.addEvent(list)
	}
	d.listVersion++
	d.addEvent(instanceEvent(eventListUpdate, instance.pipeNumber()).u32(d.listVersion).u32(number).u8(kind))
}

// addListToAll schedules a delta with the changed endpoints for every instance.
func (d *deployment) addListToAll(changed []*listedEndpoint) {
	for i, instance := range d.instances {
		d.after(uint64(i)*13*millisecond, func() {
			if instance.running {
				d.addList(instance, listDelta, changed)
			}
		})
	}
}

// findEndpoint returns the listed endpoint with an address.
func (d *deployment) findEndpoint(a address) *listedEndpoint {
	for _, endpoint := range d.endpoints {
		if endpoint.address == a {
			return endpoint
		}
	}
	d.t.Fatalf("no listed endpoint has address %x", a)
	return nil
}

// answerWatch answers an instance's call to discovery after a delay: in turn, with a full list, with a delta, or with a
// failure.
func (d *deployment) answerWatch(instance *hostedInstance) {
	d.discoveryCalls++
	kind := []byte{listFailed, listFull, listDelta}[d.discoveryCalls%3]
	incarnation := instance.incarnation
	d.after(40*millisecond, func() {
		if instance.isRunning(incarnation) {
			d.addList(instance, kind, d.endpoints)
		}
	})
}

// addUnusualEvents adds events that change little or nothing, and list updates, for a random instance. It repeats until the
// end of the session.
func (d *deployment) addUnusualEvents() {
	instance := d.instances[d.random.IntN(len(d.instances))]
	if instance.running {
		endpoint := d.endpoints[d.random.IntN(len(d.endpoints))]
		d.addEvent(instanceEvent(eventHealthCheckEnded, instance.pipeNumber()).address(endpoint.address).u64(3 * millisecond).u8([]byte{outcomeSucceeded, outcomeError, outcomeTimedOut, outcomeConnectFailed}[d.random.IntN(4)]).report([]float32{14.5, 7}))
		d.addEvent(instanceEvent(eventReportedCounts, instance.pipeNumber()).u16(d.build).u16(classRetryable).u32(180).u32(4).u64(21 * millisecond).u64(second))
		d.addEvent(instanceEvent(eventMisreportedOutcome, instance.pipeNumber()).u16(classFragile).address(endpoint.address).u64(second))
		d.addEvent(instanceEvent(eventTimerFired, instance.pipeNumber()).u64(d.random.Uint64())) // a timer that was never set
		d.addEvent(instanceEvent(eventClientDisconnected, instance.pipeNumber()).u32(1))         // a request that was never sent
		d.addEvent(instanceEvent(eventAttemptEnded, instance.pipeNumber()).u32(2).u8(0).address(endpoint.address).u8(0).u64(1).u8(1).u8(0))
		switch d.random.IntN(6) {
		case 0:
			d.addList(instance, listFull, d.endpoints) // includes removed endpoints
		case 1:
			d.addList(instance, listDelta, nil)
		case 2:
			d.addList(instance, listFull, d.readyEndpoints())
		}
	}
	d.after(777*millisecond, func() { d.addUnusualEvents() })
}

func (d *deployment) readyEndpoints() []*listedEndpoint {
	return slices.DeleteFunc(slices.Clone(d.endpoints), func(endpoint *listedEndpoint) bool { return endpoint.state != stateReady })
}
