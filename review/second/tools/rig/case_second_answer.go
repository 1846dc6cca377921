//go:build review

package main

import (
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// caseSecondAnswer: units send some good answers twice. The second copy is written 4 ms after the first, while nothing else waits on
// the connection. TCP sends it when the first is acknowledged, as units leave Nagle's algorithm on.
func caseSecondAnswer(r *rig) (bool, error) {
	const later, share = 4 * time.Millisecond, 0.1
	d, err := r.newDeployment(1, 4, stableState(41), nil)
	if err != nil {
		return false, err
	}
	var doubled atomic.Int64
	for _, u := range d.units {
		u.handle = func(a *attempt, conn net.Conn) ([]byte, bool) {
			_ = conn.(*net.TCPConn).SetNoDelay(false)
			time.Sleep(10 * time.Millisecond)
			answer := append(row(u.valueFor(a.id)), ready()...)
			if !r.trouble || rand.Float64() >= share {
				return answer, false
			}
			if _, err := conn.Write(answer); err != nil {
				return nil, true
			}
			time.Sleep(later) // this goroutine reads the connection, so nothing was read meanwhile
			if waiting(conn) {
				r.log("unit %s: no second copy for id=%s, a request waits", u.name, a.id)
				return []byte{}, false
			}
			doubled.Add(1)
			r.log("unit %s: second copy for id=%s", u.name, a.id)
			return answer, false
		}
	}
	stop := make(chan struct{})
	l := r.startLoad(d.listens[0], 16, 60*time.Millisecond, stop, retryableOnly)
	time.Sleep(6 * time.Second)
	close(stop)
	l.done.Wait()
	foreign, served := 0, 0
	for _, q := range l.requests() {
		if q.code != "ok" {
			continue
		}
		served++
		if !strings.HasPrefix(q.value, "value of "+q.id+" ") {
			foreign++
			r.logAt(q.endedAt, "FOREIGN id=%s got %q", q.id, q.value)
		}
	}
	r.say("requests served: %d; answers that were sent twice: %d; served with the answer of another request: %d", served, doubled.Load(), foreign)
	return foreign == 0, nil
}
