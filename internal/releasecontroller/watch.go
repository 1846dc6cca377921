package releasecontroller

import (
	"time"

	"lichenroad/internal/linewire"
	"lichenroad/internal/metrics"
	"lichenroad/plan"
)

// notifyWatchers sends watchers the statuses that have changed. It also sends all statuses every resendInterval, and
// keep-alives every keepAliveInterval. Idle connections without a watch are closed at the same times as keep-alives are sent.
// Only the loop may call it.
func (ctl *Controller) notifyWatchers() {
	now := ctl.now()
	wallTime := time.Now()
	resend := wallTime.Sub(ctl.resentAt) >= resendInterval
	keepAlive := wallTime.Sub(ctl.keepAliveAt) >= keepAliveInterval
	notices := ctl.statusNotices(now, resend)
	if resend {
		ctl.resentAt = wallTime
	}
	if keepAlive {
		ctl.keepAliveAt = wallTime
	}
	for c := range ctl.conns {
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
			go c.close(metrics.ClosedByIdleTimeout, nil) // the close callback posts to the loop, which must not wait for itself
		}
	}
}

// statusNotices returns the notices to send, by plan.ServiceIndex, and records them as sent. Unless all is set, a
// service gets a notice only if its status differs from the last one sent in more than its age. Only the loop may call it.
func (ctl *Controller) statusNotices(now plan.Unix, all bool) []string {
	notices := make([]string, len(ctl.notified))
	for i := range ctl.notified {
		status := ctl.core.RolloutStatus(plan.ServiceIndex(i), now)
		last := ctl.notified[i]
		last.Age = status.Age
		if status == last && !all {
			continue
		}
		ctl.notified[i] = status
		if status.Valid {
			notices[i] = linewire.StatusNoticeLine(status)
		}
	}
	return notices
}
