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

const redialInterval = 100 * time.Millisecond // while the release controller doesn't accept connections

// runDeployer watches the rollout of the service planner and starts or drains planners as each status requires. It reconnects
// after the release controller was restarted, and returns when the context ends.
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

// watchRollout deploys each new status that it reads from a connection, until the connection or the context ends.
func (d *demonstration) watchRollout(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }() // all statuses were read, or the context ended
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if _, err := fmt.Fprint(conn, linewire.WatchLine); err != nil {
		return // runDeployer reconnects
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

// sameButAge reports whether two statuses are equal except for their age, which grows with time.
func sameButAge(a, b relay.RolloutStatus) bool {
	a.Age = b.Age
	return a == b
}

// applyStatus records a status and starts or drains planners as it requires.
func (d *demonstration) applyStatus(status relay.RolloutStatus) {
	d.mu.Lock()
	d.statuses = append(d.statuses, observedStatus{at: d.now(), status: status})
	d.mu.Unlock()
	d.printProgress("planner build %d: %s, step %d, cap %g", status.Build, phaseText(status.Phase), status.Stage, status.ExposureLimit)
	if err := d.deploy(status); err != nil {
		d.printProgress("deployer: %v", err)
	}
}
