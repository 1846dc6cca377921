package releasecontroller

import (
	"time"

	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/plan"
)

// notifyWatchers sends watchers the statuses that have changed, every resendInterval all of them, and keep-alives between.
// Connections that neither watch nor call are closed along with the keep-alives. Loop only.
func (d *Controller) notifyWatchers() {
	now := d.now()
	wallTime := time.Now()
	resend := wallTime.Sub(d.resentAt) >= resendInterval
	keepAlive := wallTime.Sub(d.keepAliveAt) >= keepAliveInterval
	notices := d.statusNotices(now, resend)
	if resend {
		d.resentAt = wallTime
	}
	if keepAlive {
		d.keepAliveAt = wallTime
	}
	for c := range d.conns {
		switch {
		case c.watching:
			text := notices[c.listener.service]
			if keepAlive {
				text += linewire.KeepAliveLine
			}
			if text != "" {
				c.send(text)
			}
		case keepAlive && c.idle(wallTime):
			go c.close(metrics.ClosedByIdleTimeout, nil) // its close callback posts to the loop, which must not wait for itself
		}
	}
}

// statusNotices returns the notices to send, by service: of the statuses that differ in more than their age from what was
// sent last, or of all of them. It records them as sent. Loop only.
func (d *Controller) statusNotices(now plan.Unix, all bool) []string {
	notices := make([]string, len(d.notified))
	for i := range d.notified {
		status := d.core.RolloutStatus(plan.ServiceIndex(i), now)
		last := d.notified[i]
		last.Age = status.Age
		if status == last && !all {
			continue
		}
		d.notified[i] = status
		if status.Valid {
			notices[i] = linewire.StatusNoticeLine(status)
		}
	}
	return notices
}
