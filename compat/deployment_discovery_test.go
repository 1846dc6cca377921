package compat_test

import "slices"

// Forms of an endpoint list, as on the wire.
const (
	listFailed = iota + 1
	listCached
	listDelta
	listFull
)

// addList adds an endpoint list for an instance, of a form: listFailed and so on.
func (d *deployment) addList(instance *hostedInstance, form byte, endpoints []*listedEndpoint) {
	number := d.nextList % 16
	if form != listFailed {
		d.nextList++
		list := event(eventInventory).u32(number).u32(uint32(len(endpoints)))
		for _, endpoint := range endpoints {
			list = list.u16(endpoint.zone).u16(endpoint.kind).u16(endpoint.cell).f32(float32(endpoint.build)).f32(endpoint.weight).u8(endpoint.state).u64(endpoint.startedAt).address(endpoint.address)
		}
		d.addEvent(list)
	}
	d.revision++
	d.addEvent(eventFor(eventAnnounce, instance.onPipe()).u32(d.revision).u32(number).u8(form))
}

// addListToAll schedules a list of changes for every instance.
func (d *deployment) addListToAll(changed []*listedEndpoint) {
	for i, instance := range d.instances {
		d.after(uint64(i)*13*millisecond, func() {
			if instance.running {
				d.addList(instance, listDelta, changed)
			}
		})
	}
}

// find returns the endpoint of an address.
func (d *deployment) find(a address) *listedEndpoint {
	for _, endpoint := range d.endpoints {
		if endpoint.address == a {
			return endpoint
		}
	}
	d.t.Fatalf("no endpoint %x was listed", a)
	return nil
}

// answerSubscription answers a call to discovery: by turns it fails, brings the complete list, or the changes.
func (d *deployment) answerSubscription(instance *hostedInstance) {
	d.listCalls++
	form := []byte{listFailed, listFull, listDelta}[d.listCalls%3]
	incarnation := instance.incarnation
	d.after(40*millisecond, func() {
		if instance.isIn(incarnation) {
			d.addList(instance, form, d.endpoints)
		}
	})
}

// addUnusualEvents adds events that change little or nothing, and lists of each form.
func (d *deployment) addUnusualEvents() {
	instance := d.instances[d.random.IntN(len(d.instances))]
	if instance.running {
		endpoint := d.endpoints[d.random.IntN(len(d.endpoints))]
		d.addEvent(eventFor(eventHealth, instance.onPipe()).address(endpoint.address).u64(3 * millisecond).u8([]byte{outcomeOK, outcomeError, outcomeTimeout, outcomeConnectFailed}[d.random.IntN(4)]).report([]float32{14.5, 7}))
		d.addEvent(eventFor(eventDigest, instance.onPipe()).u16(d.build).u16(classRetryable).u32(180).u32(4).u64(21 * millisecond).u64(second))
		d.addEvent(eventFor(eventReturned, instance.onPipe()).u16(classFragile).address(endpoint.address).u64(second))
		d.addEvent(eventFor(eventElapsed, instance.onPipe()).u64(d.random.Uint64())) // a timer that was never set
		d.addEvent(eventFor(eventDropped, instance.onPipe()).u32(1))                 // a request that never came
		d.addEvent(eventFor(eventFinished, instance.onPipe()).u32(2).u8(0).address(endpoint.address).u8(0).u64(1).u8(1).u8(0))
		switch d.random.IntN(6) {
		case 0:
			d.addList(instance, listFull, d.endpoints) // with those that are gone
		case 1:
			d.addList(instance, listDelta, nil)
		case 2:
			d.addList(instance, listFull, d.readyEndpoints())
		}
	}
	d.after(777*millisecond, func() { d.addUnusualEvents() })
}

// readyEndpoints are the endpoints that serve.
func (d *deployment) readyEndpoints() []*listedEndpoint {
	return slices.DeleteFunc(slices.Clone(d.endpoints), func(endpoint *listedEndpoint) bool { return endpoint.state != stateReady })
}
