package compat_test

// broadcast is the recipient of a datagram to all relays.
const broadcast = 1<<32 - 1

// sendAsPeer sends every instance the datagrams of a peer that is not hosted, and repeats this until the end of the session.
func (d *deployment) sendAsPeer(peer uint32, turn int) {
	hash := [3]byte{byte(turn), byte(peer), 7}
	flagged := d.scenario.badBuild && d.phase == phaseCanary && turn > 4
	datagrams := [][]byte{reportDatagram(uint64(d.build), uint64(d.stage), flagged, 30, [][3]byte{hash})}
	if peer < 4 {
		datagrams = append(datagrams, decisionDatagram(uint64(d.build), uint64(d.stage), byte(turn/5%4)))
	}
	if malformed := malformedDatagrams(uint64(d.build), uint64(d.stage)); d.scenario.malformedDatagrams {
		datagrams = append(datagrams, malformed[turn%len(malformed)])
	}
	for _, instance := range d.instances {
		for _, body := range datagrams {
			d.addDatagram(instance, peer, body)
		}
	}
	if d.scenario.malformedDatagrams && turn%9 == 0 { // from a sender that does not exist
		d.addDatagram(d.instances[0], 1000+peer, datagrams[0])
	}
	d.after(900*millisecond, func() { d.sendAsPeer(peer, turn+1) })
}

// addDatagram adds a datagram for an instance, if that is running.
func (d *deployment) addDatagram(instance *hostedInstance, from uint32, body []byte) {
	if !instance.running {
		return
	}
	if len(body) >= 2 && body[0] == messageMagic {
		d.receivedTypes[body[1]]++
	}
	d.addEvent(append(instanceEvent(eventMessage, instance.pipeNumber()).u32(from).u16(uint16(len(body))), body...))
}

// deliverDatagram delivers a datagram to its recipients among the hosted instances after a random delay. One in twenty is
// lost.
func (d *deployment) deliverDatagram(instance *hostedInstance, to uint32, body []byte) {
	if len(body) < 2 || len(body) > maxDatagramBytes || body[0] != messageMagic {
		d.t.Fatalf("instance %d sent a datagram that lacks the magic byte or the type, or is too long: %x", instance.pipeNumber(), body)
	}
	d.sentTypes[body[1]]++
	for _, other := range d.instances {
		if other == instance || to != broadcast && to != uint32(other.number) || d.random.IntN(20) == 0 {
			continue
		}
		d.after(millisecond+d.random.Uint64N(20*millisecond), func() { d.addDatagram(other, uint32(instance.number), body) })
	}
}
