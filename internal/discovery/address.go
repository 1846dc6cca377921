package discovery

import (
	"lichenroad/internal/limits"
	"lichenroad/relay"
)

// ChangeAddress changes the address of the discovery service, on the loop. The new address is asked for the full list, as its
// generations need not be those of the old one. The watch at the old address goes on until the first list of the new one,
// and what it brings holds until then. The end of the old watch is no failure.
func (c *Client) ChangeAddress(address string) {
	if c.current.address == address {
		return
	}
	c.closePrevious()
	c.previous, c.previousClosing = c.current, false
	c.current = c.newServer(address)
	c.current.start()
	if c.watchWanted {
		c.Watch(true, false)
	} else {
		c.FetchList()
	}
}

// closePrevious ends what is left at the address before a change.
func (c *Client) closePrevious() {
	if c.previous != nil {
		c.previous.close()
		c.previous = nil
	}
}

// closePreviousSoon closes the previous address shortly after the first list of the new one. A drain that the old address
// wrote before may still be on its way, and binds the relay though the new list, which is older, does not have it.
func (c *Client) closePreviousSoon() {
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

// leavingEndpoints is a list of the draining and removed endpoints alone. It has no generation, as that of the previous
// address says nothing at the new one.
func (l List) leavingEndpoints() (leaving List) {
	for _, endpoint := range l.Endpoints {
		if endpoint.State != relay.Ready {
			leaving.Endpoints = append(leaving.Endpoints, endpoint)
		}
	}
	return leaving
}
