package demo

import (
	"context"
	"time"

	"lichenroad/internal/pgwire"
	"lichenroad/lab/fakes"
)

const (
	clientsPerRelay = 6 // each has its own connection
	requestClass    = "look"
)

// startClients starts the clients of one relay, each on a goroutine that ends with the context.
func (d *demonstration) startClients(ctx context.Context, relayNumber int, address string) {
	for number := range clientsPerRelay {
		d.background.Go(func() { d.runClient(ctx, relayNumber, number, address) })
	}
}

// runClient sends requests to a relay at a constant rate until the context ends, and reconnects after a failure.
func (d *demonstration) runClient(ctx context.Context, relayNumber, number int, address string) {
	var client *fakes.Client
	defer func() {
		if client != nil {
			_ = client.Close() // no request is in flight
		}
	}()
	ticker := time.NewTicker(time.Duration(float64(time.Second) * clientsPerRelay / requestsPerSecond))
	defer ticker.Stop()
	for sequence := uint64(number); ; sequence += clientsPerRelay {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if client == nil {
			var err error
			if client, err = fakes.Dial(address); err != nil {
				client = nil
				continue
			}
		}
		if err := d.sendRequest(client, relayNumber, sequence); err != nil {
			_ = client.Close() // the connection has failed already
			client = nil
		}
	}
}

// sendRequest sends one request, waits for the response and counts the outcome. Its error is an error of the connection;
// an error response is counted only.
func (d *demonstration) sendRequest(client *fakes.Client, relayNumber int, sequence uint64) error {
	tenant := tenants[sequence/clientsPerRelay%uint64(len(tenants))]
	d.mu.Lock()
	d.requests = append(d.requests, sentRequest{at: d.now(), relay: relayNumber, tenant: tenant})
	d.mu.Unlock()
	d.counts.requests.Add(1)
	id := uint64(relayNumber)<<relayNumberShift | sequence
	response, err := client.ReadObject(id, requestClass, tenant, requestDeadline)
	switch {
	case err != nil:
		d.counts.failed.Add(1)
	case response.Value != "":
		d.counts.succeeded.Add(1)
	case response.Code == pgwire.CodeTooManyConnections || response.Code == pgwire.CodeShuttingDown:
		d.counts.rejected.Add(1)
	default:
		d.counts.failed.Add(1)
	}
	return err
}
