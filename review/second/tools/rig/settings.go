//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
)

type object = map[string]any

const ms = int64(1e6)

func lockThread() { runtime.LockOSThread() }

// siteSettings returns the settings of a small deployment: two zones, three relays, and classes of all three kinds.
func siteSettings() object {
	class := func(name, repeat, group string, target, deadline, worth int64) object {
		return object{"name": name, "repeat": repeat, "group": group, "target": target * ms, "deadline": deadline * ms,
			"repeat_window": 4000 * ms, "worth": worth, "late_worth": 0.1, "streamed": false}
	}
	return object{
		"areas": []string{"bole", "kality"}, "az": 0, "kinds": []string{"fast", "plain"},
		"my_number": 0, "replicas_of_me": 3, "stage": 0, "layers": []string{"planners"}, "tick": 5 * ms,
		"family": "rollout", "discovery": "subscribe", "weight_source": "off", "worth_by": "work", "over_share_worth": 0.2,
		"client_habits": object{"marks_retry": false},
		"grades": []object{
			class("turn", "retryable", "all", 800, 2500, 2),
			class("route", "retryable", "all", 1500, 4000, 1),
			class("done", "dedup", "zone", 1000, 4000, 3),
			class("assign", "fragile", "all", 1200, 4000, 3),
		},
		"tenants": []object{{"name": "acme", "share": 1.0, "quota_per_s": 500.0}},
		"policy_limits": object{"cancel": true, "conn_idle": 30000 * ms, "dial_timeout": 250 * ms, "max_attempts": 3,
			"max_retry_after": 1000 * ms, "may_tell": true, "most_held": 5000, "parallel_tries": true, "probes": true,
			"retry_after": true, "streams_per_conn": 1},
		"report": object{"fields": []string{"recent_ms", "outstanding"}, "via": "on_probe"},
		"rules": object{"answer_slack": 20 * ms, "ask_every": 10000 * ms, "cold_from": 0.35, "drain_grace": 250 * ms,
			"fall": 3000 * ms, "fall_multiple": 2.5, "warm_up": 4600 * ms},
		"family_info": object{"ballot_ttl": 10000 * ms, "call_timeout": 800 * ms, "counted_by": "all", "decided_by": "first_voice",
			"exposure_caps": []float64{0.1, 0.4, 1, 1}, "guarded_stages": 1, "harm_price": 4.0, "lag_fee": 0.45, "metrics_period": 0,
			"min_dwell": 2000 * ms, "moves_after": 0, "no_return": false, "repeat_every": 4000 * ms, "reported_share": 0.0,
			"span": 2000 * ms, "swap": "parallel", "to_abort": 1, "to_advance": 1, "uncounted": 1.0, "votes_per_s": 200.0,
			"votes_to_hold": 0, "warm_keys": false, "waves": []float64{0.05, 0.2, 0.5, 1}},
		"penalties": object{"cross_zone": 0.02, "late_fail": 0.03, "peer": 0.01, "probe": 0.01, "waste": 0.05},
	}
}

// relayConfig returns the configuration of relay n0. Its peers are addresses at which nobody listens unless the case says
// otherwise.
func relayConfig(listen, discovery, platform string, news object) object {
	return object{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"platform": object{"address": platform, "news": news},
		"known":    object{"generation": 0, "reset": true, "instances": []any{}},
		"settings": siteSettings(),
	}
}

func newsObject(s state) object {
	return object{"image": s.build, "ring": s.stage, "progress": s.phase, "ceiling": s.cap, "lag_ms": 100000}
}
