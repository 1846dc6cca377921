//go:build review

package main

import (
	"net"
)

// hub carries the datagrams between relays: each relay has an address in `peers`, behind which a socket of the hub stands, and
// `peers_all` reaches all of them. A datagram arrives at `peer_listen` from the sender's address in `peers`.
type hub struct {
	sockets []*net.UDPConn
	listens []*net.UDPAddr
	all     *net.UDPConn
}

func udpSocket() (*net.UDPConn, error) {
	return net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

// newHub opens the sockets for relays that will listen at the given addresses.
func newHub(listens []string) (*hub, error) {
	h := &hub{}
	for _, listen := range listens {
		address, err := net.ResolveUDPAddr("udp", listen)
		if err != nil {
			return nil, err
		}
		socket, err := udpSocket()
		if err != nil {
			return nil, err
		}
		h.listens, h.sockets = append(h.listens, address), append(h.sockets, socket)
	}
	var err error
	if h.all, err = udpSocket(); err != nil {
		return nil, err
	}
	for i, socket := range h.sockets {
		go h.carry(socket, i)
	}
	go h.carry(h.all, -1)
	return h, nil
}

// carry forwards what arrives at a socket to one relay, or to all for the socket of peers_all.
func (h *hub) carry(socket *net.UDPConn, to int) {
	buffer := make([]byte, 2048)
	for {
		n, sender, err := socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		from := -1
		for i, listen := range h.listens {
			if listen.Port == sender.Port {
				from = i
			}
		}
		if from < 0 {
			continue
		}
		for i, listen := range h.listens {
			if i == to || to < 0 && i != from {
				_, _ = h.sockets[from].WriteToUDP(buffer[:n], listen)
			}
		}
	}
}

func (h *hub) peers() (addresses []string) {
	for _, socket := range h.sockets {
		addresses = append(addresses, socket.LocalAddr().String())
	}
	return addresses
}

func (h *hub) allAddress() string { return h.all.LocalAddr().String() }

// freeUDPAddresses returns n loopback addresses that are free for UDP.
func freeUDPAddresses(n int) (addresses []string, err error) {
	var sockets []*net.UDPConn
	for range n {
		socket, err := udpSocket()
		if err != nil {
			return nil, err
		}
		sockets = append(sockets, socket)
		addresses = append(addresses, socket.LocalAddr().String())
	}
	for _, socket := range sockets {
		_ = socket.Close()
	}
	return addresses, nil
}
