package discovery

import (
	"lichenroad/internal/limits"
	"lichenroad/membership"
	"lichenroad/relay"
)

// ChangeAddress changes the address of the discovery service, as the relay was told at the given time. It is called on the
// loop. The client polls the new address for the full list, because its generations need not match those of the old address.
// Until the first list from the new address arrives, the watch at the old address continues and its lists are used. The end of
// that watch does not count as a failure. The lease on the list ends unless the new address confirms it in time. A call with
// the present address changes nothing: the watch goes on, and so does the lease.
func (c *Client) ChangeAddress(address string, toldAt relay.Seconds) {
	if c.current.address == address {
		return
	}
	c.closePrevious()
	c.previous, c.previousClosing = c.current, false
	c.current = c.newServer(address)
	c.membership.step(membership.AddressChanged{At: toldAt})
	c.current.schedule.confirmAfter(c.membership.unconfirmedAfter)
	c.current.start()
	if c.watchWanted {
		c.Watch(true, false)
	} else {
		c.FetchList()
	}
}

// closePrevious closes the connections to the previous address, if there is one.
func (c *Client) closePrevious() {
	if c.previous != nil {
		c.previous.close()
		c.previous = nil
	}
}

// schedulePreviousClose schedules the close of the previous address, shortly after the first list from the new one. A drain
// notice that the previous address sent earlier may still be in transit. The relay counts as notified of it even if the new
// address's list, which can be older, does not contain the drain.
func (c *Client) schedulePreviousClose() {
	if c.previous == nil || c.previousClosing {
		return
	}
	c.previousClosing = true
	closing := c.previous
	c.loop.RunAt(c.loop.Clock.Now()+limits.AddressChangeOverlap.Seconds(), func() {
		if c.previous == closing {
			c.closePrevious()
		}
	})
}

// leavingEndpoints returns a list of only the draining and removed endpoints of l. It has no generation, because
// generations of the previous address are meaningless at the new one.
func (l List) leavingEndpoints() (leaving List) {
	for _, endpoint := range l.Endpoints {
		if endpoint.State != relay.Ready {
			leaving.Endpoints = append(leaving.Endpoints, endpoint)
		}
	}
	return leaving
}
