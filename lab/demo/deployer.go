package demo

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"lichenroad/internal/linewire"
	"lichenroad/relay"
)

const redialInterval = 100 * time.Millisecond

// runDeployer watches the planners' rollout, also after the release controller restarted, and deploys what each status
// wants. It returns when the context ends.
func (d *demonstration) runDeployer(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", d.watchAddress)
		if err != nil {
			time.Sleep(redialInterval)
			continue
		}
		d.watchRollout(ctx, conn)
	}
}

// watchRollout deploys each status that comes on a connection, up to the connection's or the context's end.
func (d *demonstration) watchRollout(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }() // it was read to its end, or the context ended
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := fmt.Fprint(conn, linewire.WatchLine); err != nil {
		return // the deployer connects again
	}
	var last relay.RolloutStatus
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		reply, err := linewire.ParseReply(strings.TrimRight(lines.Text(), "\r"))
		if err != nil || !reply.Status.Valid {
			continue
		}
		status := reply.Status
		if sameButAge(status, last) {
			continue
		}
		last = status
		d.applyStatus(status)
	}
}

// sameButAge reports whether two statuses differ at most in their age, which grows by itself.
func sameButAge(a, b relay.RolloutStatus) bool {
	a.Age = b.Age
	return a == b
}

// applyStatus records a status and deploys what it wants.
func (d *demonstration) applyStatus(status relay.RolloutStatus) {
	d.mu.Lock()
	d.statuses = append(d.statuses, observedStatus{at: d.now(), status: status})
	d.mu.Unlock()
	d.printProgress("planner build %d: %s, step %d, cap %g", status.Build, phaseText(status.Phase), status.Stage, status.ExposureLimit)
	if err := d.deploy(status); err != nil {
		d.printProgress("deployer: %v", err)
	}
}
